#pragma once

#include "rattanbeam/decisions/rank.h"
#include "rattanbeam/kernel/metrics.h"

#include "caller.pb.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace rattanbeam::standins
{

/// What one load run measured: the three measures of the deployments, by rank, and broken promises.
class LoadReport
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void sent(decisions::Rank rank);
    /// An answer came; `isWrite` as requested.
    void answered(decisions::Rank rank, bool isWrite, const caller::v1::StatementReply &reply, std::chrono::nanoseconds latency);
    /// A write of `database` was acknowledged, for the gap in service.
    void writeAcknowledged(const std::string &database, TimePoint at);
    /// The call failed without an answer of the protocol.
    void unanswered(decisions::Rank rank);
    /// A read missed a write that its session had seen acknowledged.
    void staleRead();
    /// Found when the run was over: acknowledged writes that are missing, and request ids that stand twice.
    void setAudit(std::uint64_t lost, std::uint64_t doubled);
    void finish(TimePoint startedAt, TimePoint endedAt);

    std::string text() const;
    std::string json() const;
    bool keptPromises() const;

private:
    struct RankReport {
        std::uint64_t sent = 0;
        std::uint64_t succeeded = 0;
        std::uint64_t unanswered = 0;
        std::map<int, std::uint64_t> errorsByCode;
        std::map<int, std::uint64_t> errorsByVerdict;
        kernel::LatencyHistogram latencies;
    };

    double replicaShare() const;
    double seconds() const;

    mutable std::mutex m_mutex;
    decisions::PerRank<RankReport> m_ranks;
    std::uint64_t m_readsOnReplicas = 0;
    std::uint64_t m_readsOnPrimary = 0;
    std::uint64_t m_staleReads = 0;
    std::uint64_t m_lostWrites = 0;
    std::uint64_t m_doubledWrites = 0;
    std::map<std::string, TimePoint> m_lastWrite;
    std::chrono::nanoseconds m_longestGap{};
    TimePoint m_startedAt;
    TimePoint m_endedAt;
};

} // namespace rattanbeam::standins
