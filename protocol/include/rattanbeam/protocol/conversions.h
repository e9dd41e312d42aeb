#pragma once

#include "rattanbeam/decisions/configstore.h"
#include "rattanbeam/decisions/groupview.h"
#include "rattanbeam/decisions/membership.h"
#include "rattanbeam/decisions/rank.h"
#include "rattanbeam/decisions/verdict.h"

#include "backend.pb.h"
#include "caller.pb.h"
#include "peer.pb.h"
#include "platform.pb.h"

#include <optional>

/// Between messages and value types. Decoding never throws: a value that a sender cannot mean becomes nothing, or the
/// most careful reading of it.
namespace rattanbeam::protocol
{

std::optional<decisions::Rank> toRank(caller::v1::Rank rank);
caller::v1::Rank fromRank(decisions::Rank rank);

/// An unknown verdict reads as may-have-run.
decisions::Outcome toOutcome(const caller::v1::Status &status, decisions::TimePoint now);
caller::v1::Status fromOutcome(const decisions::Outcome &outcome, decisions::TimePoint now, const std::string &message = {});

decisions::LogPosition toLogPosition(const backend::v1::LogPosition &at);
backend::v1::LogPosition fromLogPosition(const decisions::LogPosition &at);

decisions::MemberStatus toMemberStatus(const backend::v1::MemberStatus &status);
backend::v1::MemberStatus fromMemberStatus(const decisions::MemberStatus &status);

/// Ages on the wire become times on the receiver's clock, on the late side by the time of the transfer.
decisions::MemberObservation toMemberObservation(const peer::v1::MemberReport &report, decisions::TimePoint sentAfter);
peer::v1::MemberReport fromMemberObservation(const std::string &database,
                                             const decisions::MemberId &member,
                                             const decisions::MemberObservation &observation,
                                             decisions::TimePoint now);

decisions::ConfigObject toConfigObject(const platform::v1::Object &object);
platform::v1::Object fromConfigObject(const decisions::ConfigObject &object);
decisions::ConfigChanges toConfigChanges(const platform::v1::ListReply &reply, std::uint64_t after);

decisions::InstanceRecord toInstanceRecord(const peer::v1::InstanceReport &report);
peer::v1::InstanceReport fromInstanceRecord(const decisions::InstanceRecord &record);

template<typename Repeated>
decisions::TermHistory toTermHistory(const Repeated &starts)
{
    decisions::TermHistory history;
    for (const auto &start : starts) {
        history.append({start.term(), start.start()});
    }
    return history;
}

template<typename Repeated>
void fromTermHistory(const decisions::TermHistory &history, Repeated *starts)
{
    for (const decisions::TermStart &start : history.starts()) {
        auto *added = starts->Add();
        added->set_term(start.term);
        added->set_start(start.start);
    }
}

} // namespace rattanbeam::protocol
