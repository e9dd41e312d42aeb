#pragma once

#include "rattanbeam/decisions/configstore.h"
#include "rattanbeam/decisions/fleetview.h"
#include "rattanbeam/decisions/groupview.h"
#include "rattanbeam/decisions/memberhome.h"
#include "rattanbeam/decisions/promotion.h"
#include "rattanbeam/proxy/internal/peerclient.h"
#include "rattanbeam/proxy/internal/platformclient.h"
#include "rattanbeam/proxy/internal/responder.h"

#include "caller.pb.h"
#include "peer.pb.h"

#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// What services say to each other. Messages stay within the process, so they may hold pointers to immutable values.
namespace rattanbeam::proxy::internal
{

using CallerResponder = std::shared_ptr<Responder<caller::v1::StatementReply>>;
using ForwardResponder = std::shared_ptr<Responder<peer::v1::ForwardReply>>;
using ExchangeResponder = std::shared_ptr<Responder<peer::v1::ExchangeMessage>>;
using ShowResponder = std::shared_ptr<Responder<peer::v1::ShowReply>>;

/// To all: the fleet changed.
struct FleetChanged {
    std::shared_ptr<const decisions::FleetView> fleet;
};
/// To all: a service's own timer.
struct TimerTick {};
/// To all: the instance is shutting down gracefully.
struct DrainStarted {};

/// To entry: a caller's request.
struct CallerRequest {
    peer::v1::Operation operation;
    std::shared_ptr<const caller::v1::StatementRequest> request;
    CallerResponder responder;
};
/// To entry: the answer of a home, or what became of the call.
struct ForwardEnded {
    std::uint64_t request;
    std::uint32_t attempt;
    CallResult result;
    std::shared_ptr<const peer::v1::ForwardReply> reply;
    decisions::TimePoint sentAt;
};
/// To entry: time to try a request again.
struct RetryDue {
    std::uint64_t request;
    std::uint32_t attempt;
};

/// To home: a request for one of its members.
struct ForwardArrived {
    std::shared_ptr<const peer::v1::ForwardRequest> request;
    decisions::TimePoint deadline;
    ForwardResponder responder;
};
/// To home: events of a member's connections.
struct ConnectionOpened {
    decisions::MemberId member;
    decisions::ConnectionId connection;
};
struct ConnectionAnswered {
    decisions::MemberId member;
    decisions::ConnectionId connection;
    std::shared_ptr<const backend::v1::AnswerFrame> frame;
};
struct ConnectionEnded {
    decisions::MemberId member;
    decisions::ConnectionId connection;
};
/// To home: another member of the group answered a question about what it holds.
struct HeldAnswered {
    decisions::MemberId member;
    decisions::MemberId other;
    std::optional<decisions::MemberStatus> status;
};
/// To home: a member's status, and the whole group as its observer sees it.
struct MemberObserved {
    decisions::MemberId member;
    decisions::MemberId seen;
    decisions::MemberObservation observation;
    std::shared_ptr<const decisions::GroupView> group;
};
/// To home: hold work back while the member hands its role over, or go on.
struct HandoverChanged {
    decisions::MemberId member;
    bool isUnderWay;
};
/// To observer: a held member is quiet enough to hand over.
struct HandoverReady {
    decisions::MemberId member;
};
/// To observer: this instance stands in for a member's home for a while.
struct ObserveMember {
    decisions::MemberId member;
};
/// To observer: what a home measures of its member.
struct HomeLoad {
    decisions::MemberId member;
    std::uint32_t queued;
    decisions::Duration latency;
};

/// To state: configuration from the platform or from a write of ours.
struct ConfigArrived {
    decisions::ConfigChanges changes;
};
/// To state: the platform's list of instances.
struct InstancesListed {
    std::vector<decisions::InstanceRecord> instances;
};
/// To state: a peer's exchange, and the answer to ours.
struct ExchangeArrived {
    std::shared_ptr<const peer::v1::ExchangeMessage> message;
    ExchangeResponder responder;
};
struct ExchangeAnswered {
    std::string address;
    CallResult result;
    std::shared_ptr<const peer::v1::ExchangeMessage> message;
};
/// To state: what this instance's observer tells its peers.
struct OwnReports {
    std::vector<peer::v1::MemberReport> members;
    std::vector<peer::v1::Suspicion> suspicions;
    bool isUrgent;
};
/// To observer: what a peer's observer told.
struct PeerReports {
    std::shared_ptr<const peer::v1::ExchangeMessage> message;
    decisions::TimePoint receivedAt;
};
/// To state: an operator asks.
struct ShowArrived {
    std::string key;
    ShowResponder responder;
};

/// To observer: answers of members and the platform.
struct ProbeEnded {
    decisions::DatabaseName database;
    decisions::MemberId member;
    bool isFresh;
    decisions::TimePoint askedAt;
    std::optional<decisions::MemberStatus> status;
};
struct FenceEnded {
    decisions::DatabaseName database;
    decisions::AttemptId attempt;
    decisions::MemberId member;
    bool accepted;
    decisions::MemberStatus status;
};
struct PromoteEnded {
    decisions::DatabaseName database;
    decisions::AttemptId attempt;
    decisions::MemberId member;
    bool accepted;
};
struct GroupWritten {
    decisions::DatabaseName database;
    decisions::AttemptId attempt;
    std::optional<PlatformWrite> outcome;
};
struct GroupRead {
    decisions::DatabaseName database;
    decisions::AttemptId attempt;
    std::optional<decisions::ConfigObject> object;
};

/// To relay: the watch on the platform ended.
struct WatchEnded {};

} // namespace rattanbeam::proxy::internal

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::FleetChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::TimerTick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::DrainStarted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::CallerRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ForwardEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::RetryDue)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ForwardArrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ConnectionOpened)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ConnectionAnswered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ConnectionEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::HeldAnswered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::MemberObserved)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::HandoverChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::HandoverReady)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ObserveMember)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::HomeLoad)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ConfigArrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::InstancesListed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ExchangeArrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ExchangeAnswered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::OwnReports)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::PeerReports)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ShowArrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::ProbeEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::FenceEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::PromoteEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::GroupWritten)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::GroupRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rattanbeam::proxy::internal::WatchEnded)
