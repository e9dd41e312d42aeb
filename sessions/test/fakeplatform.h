#pragma once

#include "rattanbeam/decisions/session/storeepoch.h"
#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/ports.h"
#include "rattanbeam/sessions/sessioninstance.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::sessions::test
{

using namespace std::chrono_literals;

/// Stores records in memory, with revisions and watches. Callbacks are posted to the loop.
class FakeStore : public RecordStore
{
public:
    explicit FakeStore(EventLoop &loop) : m_loop(loop)
    {}

    void put(Collection collection, const std::string &name, const RecordValue &value)
    {
        records[{collection, name}] = {name, ++revision, false, value};
        notifyWatchers();
    }
    /// Comes back from a copy, in a new epoch. Answers that are on their way arrive as those of the earlier epoch.
    void restore(const std::map<std::pair<Collection, std::string>, Record> &copy, std::uint64_t copiedRevision)
    {
        ++epoch;
        revision = firstOfStoreEpoch(epoch) + numberInStoreEpoch(copiedRevision);
        records = copy;
        for (auto &[key, record] : records) {
            record.revision = firstOfStoreEpoch(epoch) + numberInStoreEpoch(record.revision);
        }
        m_watches.clear();
    }
    void onEpoch(std::function<void(std::uint64_t)> listener) override
    {
        m_epochListener = std::move(listener);
    }
    void advanceEpoch(std::uint64_t known) override
    {
        knownEpoch = std::max(knownEpoch, known);
    }
    void list(Collection collection, ListCallback callback) override
    {
        post([this, collection, callback = std::move(callback)] {
            if (isUnavailable) {
                callback(StoreOutcome::Unavailable, {}, 0);
            } else {
                ++listsAnswered[collection];
                showEpoch();
                callback(StoreOutcome::Done, recordsAfter(collection, 0), revision);
            }
        });
    }
    void watch(Collection collection, std::uint64_t afterRevision, std::chrono::milliseconds wait, ListCallback callback) override
    {
        ++watchesStarted;
        longestWatchWait = std::max(longestWatchWait, wait);
        if (isUnavailable) {
            post([callback = std::move(callback)] {
                callback(StoreOutcome::Unavailable, {}, 0);
            });
            return;
        }
        if (storeEpochOf(afterRevision) < knownEpoch) {
            post([callback = std::move(callback)] {
                callback(StoreOutcome::HistoryLost, {}, 0);
            });
            return;
        }
        m_watches.push_back({collection, afterRevision, std::move(callback)});
        notifyWatchers();
    }
    void read(Collection collection, const std::string &name, RecordCallback callback) override
    {
        post([this, collection, name, callback = std::move(callback)] {
            const auto found = records.find({collection, name});
            if (isUnavailable) {
                callback(StoreOutcome::Unavailable, std::nullopt);
                return;
            }
            showEpoch();
            if (found == records.end()) {
                callback(StoreOutcome::Absent, std::nullopt);
            } else {
                callback(StoreOutcome::Done, found->second);
            }
        });
    }
    void write(Collection collection,
               const std::string &name,
               const RecordValue &value,
               std::uint64_t expectedRevision,
               RecordCallback callback) override
    {
        post([=, this, callback = std::move(callback)] {
            const auto found = records.find({collection, name});
            const std::uint64_t storedRevision = found == records.end() ? 0 : found->second.revision;
            if (isUnavailable) {
                callback(StoreOutcome::Unavailable, std::nullopt);
                return;
            }
            showEpoch();
            if (storedRevision != expectedRevision) {
                callback(StoreOutcome::Conflict, found == records.end() ? std::nullopt : std::optional(found->second));
            } else {
                put(collection, name, value);
                callback(StoreOutcome::Done, records.at({collection, name}));
            }
        });
    }
    void remove(Collection collection, const std::string &name, std::uint64_t, RecordCallback callback) override
    {
        records.erase({collection, name});
        post([callback = std::move(callback)] {
            callback(StoreOutcome::Done, std::nullopt);
        });
    }

    std::map<std::pair<Collection, std::string>, Record> records;
    std::uint64_t revision = 1;
    std::uint64_t epoch = 0;
    /// The latest epoch that the instance knows.
    std::uint64_t knownEpoch = 0;
    std::map<Collection, int> listsAnswered;
    bool isUnavailable = false;
    int watchesStarted = 0;
    /// Keeps the answers of watches in `heldWatchAnswers`, as if they were still on their way.
    bool isHoldingWatchAnswers = false;
    std::vector<std::function<void()>> heldWatchAnswers;
    std::chrono::milliseconds longestWatchWait{};

private:
    struct Watch {
        Collection collection;
        std::uint64_t afterRevision;
        ListCallback callback;
    };
    template<typename Function>
    void post(Function function)
    {
        m_loop.post(std::move(function));
    }
    /// What the header of an answer does.
    void showEpoch()
    {
        if (std::exchange(knownEpoch, std::max(knownEpoch, epoch)) < epoch && m_epochListener) {
            m_epochListener(epoch);
        }
    }
    std::vector<Record> recordsAfter(Collection collection, std::uint64_t afterRevision) const
    {
        std::vector<Record> found;
        for (const auto &[key, record] : records) {
            if (key.first == collection && record.revision > afterRevision) {
                found.push_back(record);
            }
        }
        return found;
    }
    void notifyWatchers()
    {
        post([this] {
            std::vector<Watch> pendingWatches;
            for (Watch &watch : std::exchange(m_watches, {})) {
                const auto changedRecords = recordsAfter(watch.collection, watch.afterRevision);
                if (changedRecords.empty()) {
                    pendingWatches.push_back(std::move(watch));
                } else if (isHoldingWatchAnswers) {
                    heldWatchAnswers.emplace_back([this, callback = std::move(watch.callback), changedRecords, heldRevision = revision] {
                        const bool isLate = storeEpochOf(heldRevision) < knownEpoch;
                        callback(isLate ? StoreOutcome::HistoryLost : StoreOutcome::Done, changedRecords, heldRevision);
                    });
                } else {
                    watch.callback(StoreOutcome::Done, changedRecords, revision);
                }
            }
            m_watches.insert(
                m_watches.end(), std::make_move_iterator(pendingWatches.begin()), std::make_move_iterator(pendingWatches.end()));
        });
    }

    EventLoop &m_loop;
    std::vector<Watch> m_watches;
    std::function<void(std::uint64_t)> m_epochListener;
};

/// Members that answer each command with success and a log position, client statements after `executionTime`. Fences are kept, and
/// shown in later statuses.
class FakeMembers : public MemberConnector
{
public:
    explicit FakeMembers(EventLoop &loop) : m_loop(loop)
    {}
    std::unique_ptr<MemberLink>
    connect(const MemberRecord &member, const WorkspaceName &workspace, std::chrono::milliseconds, MemberLinkEvents events) override
    {
        const auto sharedEvents = std::make_shared<MemberLinkEvents>(std::move(events));
        const bool isDown = downMembers.contains(member.id.text());
        m_loop.post([sharedEvents, isDown, this] {
            const auto heldEvents = sharedEvents;
            if (isDown) {
                const auto failed = heldEvents->failed;
                failed(ConnectFailure::Refused);
            } else if (heldEvents->opened) {
                heldEvents->opened();
            }
        });
        return std::make_unique<Link>(*this, member, workspace, sharedEvents);
    }

    std::set<std::string> downMembers; ///< Members that refuse connections.
    std::vector<std::string> executedStatements; ///< Identifiers of the clients' statements, in order of arrival.
    std::map<std::string, std::string> statementWorkspaces; ///< Workspace that the member was told for each client statement.
    decisions::Duration executionTime{};
    /// Length of the row in each answer; there is none if it is 0.
    std::size_t rowBytes = 0;
    /// Terms of the fences, and when each member was fenced first.
    std::map<std::string, decisions::Term> fenceTerms;
    std::map<std::string, TimePoint> fencedSince;

private:
    class Link : public MemberLink
    {
    public:
        Link(FakeMembers &members, const MemberRecord &member, WorkspaceName workspace, std::shared_ptr<MemberLinkEvents> events)
            : m_members(members), m_member(member), m_workspace(std::move(workspace)), m_events(std::move(events))
        {}
        ~Link() override
        {
            *m_events = {};
        }
        void send(const MemberCommand &command) override
        {
            const bool isClientStatement = command.kind == CommandKind::Statement && !command.statement.id.empty();
            if (isClientStatement) {
                m_members.executedStatements.push_back(command.statement.id);
                m_members.statementWorkspaces[command.statement.id] = m_workspace.text();
            }
            Answer answer
                = Answer::success(command.statement.kind == StatementKind::Begin ? SessionPhase::InTransaction : SessionPhase::Idle);
            answer.position = decisions::LogPosition{1, 1};
            answer.signature = isClientStatement ? "signed" : "";
            if (isClientStatement && m_members.rowBytes > 0) {
                answer.rows.assign(1, std::string(m_members.rowBytes, 'x'));
            }
            std::optional<ReplicationStatus> status;
            if (command.kind == CommandKind::Suspend) {
                m_members.fenceTerms[m_member.id.text()] = command.term;
                m_members.fencedSince.try_emplace(m_member.id.text(), EventLoop::now());
            }
            if (command.kind == CommandKind::Status || command.kind == CommandKind::Suspend) {
                status = ReplicationStatus{m_member.isRegisteredAsPrimary, 1, {1, 1}, m_members.fenceTerms[m_member.id.text()], 0, 0, 1};
            }
            m_members.m_loop.after(isClientStatement ? m_members.executionTime : decisions::Duration{},
                                   [events = m_events, answer, status] {
                                       if (events->answered) {
                                           const auto answered = events->answered;
                                           answered(answer, status);
                                       }
                                   });
        }

    private:
        FakeMembers &m_members;
        MemberRecord m_member;
        WorkspaceName m_workspace;
        std::shared_ptr<MemberLinkEvents> m_events;
    };

    EventLoop &m_loop;
};

/// Records the orders and never answers.
class FakePromotions : public PromotionClient
{
public:
    struct Order {
        MemberId member;
        TimePoint orderedAt;
    };
    void
    order(const ServiceName &, const MemberId &member, const std::string &, std::uint64_t, std::function<void(PromotionResult)>) override
    {
        orders.push_back({member, EventLoop::now()});
    }

    std::vector<Order> orders;
};

/// Records the calls to a client's channel.
class FakeClient : public ClientChannel
{
public:
    void accept() override
    {
        isAccepted = true;
    }
    void refuse(StatementError error, const std::string &) override
    {
        refusal = error;
        isClosed = true;
    }
    void answer(const Answer &answer) override
    {
        answers.push_back(answer);
    }
    bool hasUnreadInput() override
    {
        return hasUnread;
    }
    void close() override
    {
        isClosed = true;
    }

    bool isAccepted = false;
    bool isClosed = false;
    bool hasUnread = false;
    std::optional<StatementError> refusal;
    std::vector<Answer> answers;
};

/// One instance with fake ports, run on the test's thread.
class InstanceFixture
{
public:
    explicit InstanceFixture(bool isStoreAvailable = true,
                             const ClientLimits &clientLimits = {},
                             const std::string &peerAddress = "127.0.0.1:0")
    {
        settings.clients = clientLimits;
        auto fakeStore = std::make_unique<FakeStore>(loop);
        auto fakeMembers = std::make_unique<FakeMembers>(loop);
        store = fakeStore.get();
        members = fakeMembers.get();
        store->isUnavailable = !isStoreAvailable;
        addFleetRecords();
        settings.instance = decisions::InstanceId("a1");
        settings.domain = decisions::FailureDomain("a");
        settings.ip = "127.0.0.1";
        settings.peerAddress = peerAddress;
        settings.grace = 4s;
        settings.configurationBound = 3s;
        instance = std::make_unique<SessionInstance>(
            loop, settings, Ports{std::move(fakeStore), std::move(fakeMembers), std::make_unique<FakePromotions>()});
        instance->start();
    }
    /// Stores a configuration with one route, from database "shop" to service "orders", and that service's three members.
    void addFleetRecords()
    {
        FleetConfiguration configuration;
        configuration.version = 3;
        configuration.routes.push_back(
            {decisions::DatabaseName("shop"), ServiceName("orders"), Consistency::Latest, decisions::Rank::Urgent, 800, 100, 0});
        configuration.services.push_back({ServiceName("orders"), 16});
        store->put(Collection::Configuration, "main", configuration);
        for (const char *id : {"m1", "m2", "m3"}) {
            const MemberRecord record{MemberId(id),
                                      ServiceName("orders"),
                                      std::string(id) + ":1",
                                      decisions::FailureDomain("a"),
                                      2,
                                      false,
                                      std::string(id) == "m1",
                                      1};
            store->put(Collection::Members, id, record);
        }
    }
    /// Runs the loop until the condition holds. Returns false if it does not hold within `timeout`.
    template<typename Condition>
    bool runUntil(Condition isDone, std::chrono::milliseconds timeout = 5s)
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!isDone() && std::chrono::steady_clock::now() < deadline) {
            loop.context().restart();
            loop.context().run_for(5ms);
        }
        return isDone();
    }
    std::pair<SessionNumber, std::shared_ptr<FakeClient>> openSession(const std::string &database = "shop", const std::string &key = {})
    {
        auto client = std::make_shared<FakeClient>();
        const SessionNumber number = instance->front().sessionOpened(client, decisions::DatabaseName(database), key);
        return {number, client};
    }
    static Statement makeWriteStatement(const std::string &id)
    {
        Statement statement;
        statement.id = id;
        statement.kind = StatementKind::Write;
        statement.arguments = "1 a";
        return statement;
    }

    EventLoop loop;
    SessionSettings settings;
    FakeStore *store = nullptr;
    FakeMembers *members = nullptr;
    std::unique_ptr<SessionInstance> instance;
};

} // namespace rattanbeam::sessions::test
