#include "rattanbeam/protocol/conversions.h"

namespace rattanbeam::protocol
{

using decisions::Duration;
using decisions::TimePoint;

std::optional<decisions::Rank> toRank(caller::v1::Rank rank)
{
    switch (rank) {
    case caller::v1::URGENT:
        return decisions::Rank::Urgent;
    case caller::v1::INTERACTIVE:
        return decisions::Rank::Interactive;
    case caller::v1::BATCH:
        return decisions::Rank::Batch;
    default:
        return std::nullopt;
    }
}

caller::v1::Rank fromRank(decisions::Rank rank)
{
    switch (rank) {
    case decisions::Rank::Urgent:
        return caller::v1::URGENT;
    case decisions::Rank::Interactive:
        return caller::v1::INTERACTIVE;
    case decisions::Rank::Batch:
        break;
    }
    return caller::v1::BATCH;
}

decisions::Outcome toOutcome(const caller::v1::Status &status, TimePoint now)
{
    decisions::Outcome outcome;
    outcome.code = static_cast<decisions::ErrorCode>(status.code());
    if (status.retry_after_ms() > 0) {
        outcome.retryAt = now + std::chrono::milliseconds(status.retry_after_ms());
    }
    switch (status.verdict()) {
    case caller::v1::NOT_RUN:
        outcome.verdict = decisions::Verdict::NotRun;
        break;
    case caller::v1::RAN:
        outcome.verdict = decisions::Verdict::Ran;
        break;
    default:
        outcome.verdict = decisions::Verdict::MayHaveRun;
        outcome.code = status.code() == 0 ? decisions::ErrorCode::Internal : outcome.code;
        break;
    }
    return outcome;
}

caller::v1::Status fromOutcome(const decisions::Outcome &outcome, TimePoint now, const std::string &message)
{
    caller::v1::Status status;
    switch (outcome.verdict) {
    case decisions::Verdict::NotRun:
        status.set_verdict(caller::v1::NOT_RUN);
        break;
    case decisions::Verdict::MayHaveRun:
        status.set_verdict(caller::v1::MAY_HAVE_RUN);
        break;
    case decisions::Verdict::Ran:
        status.set_verdict(caller::v1::RAN);
        break;
    }
    status.set_code(static_cast<int>(outcome.code));
    if (outcome.code != decisions::ErrorCode::None) {
        status.set_message(message.empty() ? std::string(decisions::errorName(outcome.code)) : message);
    }
    if (outcome.retryAt != TimePoint{}) {
        status.set_retry_after_ms(std::max(1U, decisions::millisecondsUntil(outcome.retryAt, now)));
    }
    return status;
}

decisions::LogPosition toLogPosition(const backend::v1::LogPosition &at)
{
    return {at.term(), at.position()};
}

backend::v1::LogPosition fromLogPosition(const decisions::LogPosition &at)
{
    backend::v1::LogPosition message;
    message.set_term(at.term);
    message.set_position(at.position);
    return message;
}

decisions::MemberStatus toMemberStatus(const backend::v1::MemberStatus &status)
{
    decisions::MemberStatus value;
    value.term = status.term();
    value.isPrimary = status.primary();
    value.isLeaving = status.leaving();
    value.isFollowing = status.following();
    value.held = toLogPosition(status.held());
    value.applied = status.applied();
    value.history = toTermHistory(status.terms());
    return value;
}

backend::v1::MemberStatus fromMemberStatus(const decisions::MemberStatus &status)
{
    backend::v1::MemberStatus message;
    message.set_term(status.term);
    message.set_primary(status.isPrimary);
    message.set_leaving(status.isLeaving);
    message.set_following(status.isFollowing);
    *message.mutable_held() = fromLogPosition(status.held);
    message.set_applied(status.applied);
    fromTermHistory(status.history, message.mutable_terms());
    return message;
}

namespace
{

/// Rounded up, so that an age never shrinks on its way.
std::uint32_t ageMs(TimePoint since, TimePoint now)
{
    const std::uint32_t whole = decisions::millisecondsUntil(now, since);
    return whole == UINT32_MAX ? whole : whole + 1;
}

} // namespace

decisions::MemberObservation toMemberObservation(const peer::v1::MemberReport &report, TimePoint sentAfter)
{
    decisions::MemberObservation observation;
    observation.status = toMemberStatus(report.status());
    observation.observedAt = sentAfter - std::chrono::milliseconds(report.age_ms());
    observation.completeAsOf = sentAfter - std::chrono::milliseconds(report.data_age_ms());
    observation.queued = report.queued();
    observation.latency = std::chrono::microseconds(report.latency_us());
    return observation;
}

peer::v1::MemberReport fromMemberObservation(const std::string &database,
                                             const decisions::MemberId &member,
                                             const decisions::MemberObservation &observation,
                                             TimePoint now)
{
    peer::v1::MemberReport report;
    report.set_database(database);
    *report.mutable_status() = fromMemberStatus(observation.status);
    report.mutable_status()->set_member(member.text());
    report.set_age_ms(ageMs(observation.observedAt, now));
    report.set_data_age_ms(ageMs(observation.completeAsOf, now));
    report.set_queued(observation.queued);
    report.set_latency_us(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(observation.latency).count()));
    return report;
}

decisions::ConfigObject toConfigObject(const platform::v1::Object &object)
{
    return {object.key(), object.text(), object.version(), object.deleted()};
}

platform::v1::Object fromConfigObject(const decisions::ConfigObject &object)
{
    platform::v1::Object message;
    message.set_key(object.key);
    message.set_text(object.text);
    message.set_version(object.version);
    message.set_deleted(object.deleted);
    return message;
}

decisions::ConfigChanges toConfigChanges(const platform::v1::ListReply &reply, std::uint64_t after)
{
    decisions::ConfigChanges changes;
    changes.after = after;
    changes.completeTo = reply.complete_to();
    for (const platform::v1::Object &object : reply.objects()) {
        changes.objects.push_back(toConfigObject(object));
    }
    return changes;
}

decisions::InstanceRecord toInstanceRecord(const peer::v1::InstanceReport &report)
{
    return {decisions::InstanceId(report.name()),
            decisions::FailureDomain(report.domain()),
            report.address(),
            report.incarnation(),
            report.heartbeat(),
            report.leaving()};
}

peer::v1::InstanceReport fromInstanceRecord(const decisions::InstanceRecord &record)
{
    peer::v1::InstanceReport report;
    report.set_name(record.id.text());
    report.set_domain(record.domain.text());
    report.set_address(record.address);
    report.set_incarnation(record.incarnation);
    report.set_heartbeat(record.heartbeat);
    report.set_leaving(record.isLeaving);
    return report;
}

} // namespace rattanbeam::protocol
