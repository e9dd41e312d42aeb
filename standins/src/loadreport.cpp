#include "rattanbeam/standins/loadreport.h"

#include "rattanbeam/decisions/verdict.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace rattanbeam::standins
{

using decisions::allRanks;
using decisions::Rank;

namespace
{

double milliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string fixed(double value, int digits)
{
    char text[64];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

} // namespace

void LoadReport::sent(Rank rank)
{
    const std::lock_guard lock(m_mutex);
    ++m_ranks[rank].sent;
}

void LoadReport::answered(Rank rank, bool isWrite, const caller::v1::StatementReply &reply, std::chrono::nanoseconds latency)
{
    const std::lock_guard lock(m_mutex);
    RankReport &report = m_ranks[rank];
    if (reply.status().code() != 0) {
        ++report.errorsByCode[reply.status().code()];
        ++report.errorsByVerdict[reply.status().verdict()];
        return;
    }
    ++report.succeeded;
    report.latencies.record(latency);
    if (!isWrite) {
        ++(reply.from_replica() ? m_readsOnReplicas : m_readsOnPrimary);
    }
}

void LoadReport::writeAcknowledged(const std::string &database, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    const auto [entry, isFirst] = m_lastWrite.try_emplace(database, at);
    if (!isFirst) {
        m_longestGap = std::max<std::chrono::nanoseconds>(m_longestGap, at - entry->second);
        entry->second = std::max(entry->second, at);
    }
}

void LoadReport::unanswered(Rank rank)
{
    const std::lock_guard lock(m_mutex);
    ++m_ranks[rank].unanswered;
}

void LoadReport::staleRead()
{
    const std::lock_guard lock(m_mutex);
    ++m_staleReads;
}

void LoadReport::setAudit(std::uint64_t lost, std::uint64_t doubled)
{
    const std::lock_guard lock(m_mutex);
    m_lostWrites = lost;
    m_doubledWrites = doubled;
}

void LoadReport::finish(TimePoint startedAt, TimePoint endedAt)
{
    const std::lock_guard lock(m_mutex);
    m_startedAt = startedAt;
    m_endedAt = endedAt;
}

double LoadReport::replicaShare() const
{
    const auto reads = static_cast<double>(m_readsOnReplicas + m_readsOnPrimary);
    return reads == 0 ? 0 : static_cast<double>(m_readsOnReplicas) / reads;
}

double LoadReport::seconds() const
{
    return std::chrono::duration<double>(m_endedAt - m_startedAt).count();
}

bool LoadReport::keptPromises() const
{
    const std::lock_guard lock(m_mutex);
    return m_staleReads == 0 && m_lostWrites == 0 && m_doubledWrites == 0;
}

std::string LoadReport::text() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream text;
    text << "reads on replicas      " << fixed(100 * replicaShare(), 1) << " %\n";
    text << "longest gap in writes  " << fixed(milliseconds(m_longestGap), 0) << " ms (of one database)\n";
    text << "rank         sent    ok/s   p50 ms   p99 ms  not run  may have run  no answer\n";
    for (const Rank rank : allRanks) {
        const RankReport &report = m_ranks[rank];
        const auto count = [&report](caller::v1::Verdict verdict) {
            const auto found = report.errorsByVerdict.find(verdict);
            return found == report.errorsByVerdict.end() ? 0 : found->second;
        };
        char line[160];
        std::snprintf(line,
                      sizeof line,
                      "%-11s %6llu %7.1f %8.2f %8.2f %8llu %13llu %10llu\n",
                      std::string(decisions::rankName(rank)).c_str(),
                      static_cast<unsigned long long>(report.sent),
                      static_cast<double>(report.succeeded) / seconds(),
                      milliseconds(report.latencies.quantile(0.5)),
                      milliseconds(report.latencies.quantile(0.99)),
                      static_cast<unsigned long long>(count(caller::v1::NOT_RUN)),
                      static_cast<unsigned long long>(count(caller::v1::MAY_HAVE_RUN)),
                      static_cast<unsigned long long>(report.unanswered));
        text << line;
        for (const auto &[code, times] : report.errorsByCode) {
            text << "    " << decisions::errorName(static_cast<decisions::ErrorCode>(code)) << ' ' << times << '\n';
        }
    }
    text << "stale reads " << m_staleReads << ", lost writes " << m_lostWrites << ", doubled writes " << m_doubledWrites << '\n';
    return text.str();
}

std::string LoadReport::json() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream text;
    text << "{\"replica_share\":" << fixed(replicaShare(), 4) << ",\"longest_gap_ms\":" << fixed(milliseconds(m_longestGap), 1)
         << ",\"stale_reads\":" << m_staleReads << ",\"lost_writes\":" << m_lostWrites << ",\"doubled_writes\":" << m_doubledWrites
         << ",\"ranks\":{";
    for (const Rank rank : allRanks) {
        const RankReport &report = m_ranks[rank];
        text << (rank == Rank::Urgent ? "" : ",") << '"' << decisions::rankName(rank) << "\":{\"sent\":" << report.sent
             << ",\"ok\":" << report.succeeded << ",\"ok_per_second\":" << fixed(static_cast<double>(report.succeeded) / seconds(), 1)
             << ",\"p50_ms\":" << fixed(milliseconds(report.latencies.quantile(0.5)), 3)
             << ",\"p99_ms\":" << fixed(milliseconds(report.latencies.quantile(0.99)), 3) << ",\"unanswered\":" << report.unanswered
             << ",\"errors\":{";
        bool isFirst = true;
        for (const auto &[code, times] : report.errorsByCode) {
            text << (isFirst ? "" : ",") << '"' << decisions::errorName(static_cast<decisions::ErrorCode>(code)) << "\":" << times;
            isFirst = false;
        }
        text << "}}";
    }
    text << "}}";
    return text.str();
}

} // namespace rattanbeam::standins
