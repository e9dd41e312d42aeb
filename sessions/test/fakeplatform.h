#pragma once

#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/ports.h"
#include "rattanbeam/sessions/sessioninstance.h"

#include <algorithm>
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

/// Records in memory, with revisions and watches.
class FakeStore : public RecordStore
{
public:
    explicit FakeStore(EventLoop &loop) : m_loop(loop)
    {}

    void put(Collection collection, const std::string &name, const RecordValue &value)
    {
        records[{collection, name}] = {name, ++revision, false, value};
        tellWatchers();
    }
    void list(Collection collection, ListCallback callback) override
    {
        later([this, collection, callback = std::move(callback)] {
            if (isAway) {
                callback(StoreOutcome::Unavailable, {}, 0);
            } else {
                callback(StoreOutcome::Done, after(collection, 0), revision);
            }
        });
    }
    void watch(Collection collection, std::uint64_t from, std::chrono::milliseconds wait, ListCallback callback) override
    {
        ++watchesBegun;
        longestWait = std::max(longestWait, wait);
        if (isAway) {
            later([callback = std::move(callback)] {
                callback(StoreOutcome::Unavailable, {}, 0);
            });
            return;
        }
        m_watches.push_back({collection, from, std::move(callback)});
        tellWatchers();
    }
    void read(Collection collection, const std::string &name, RecordCallback callback) override
    {
        later([this, collection, name, callback = std::move(callback)] {
            const auto found = records.find({collection, name});
            if (isAway) {
                callback(StoreOutcome::Unavailable, std::nullopt);
            } else if (found == records.end()) {
                callback(StoreOutcome::Absent, std::nullopt);
            } else {
                callback(StoreOutcome::Done, found->second);
            }
        });
    }
    void write(
        Collection collection, const std::string &name, const RecordValue &value, std::uint64_t expected, RecordCallback callback) override
    {
        later([=, this, callback = std::move(callback)] {
            const auto found = records.find({collection, name});
            const std::uint64_t present = found == records.end() ? 0 : found->second.revision;
            if (isAway) {
                callback(StoreOutcome::Unavailable, std::nullopt);
            } else if (present != expected) {
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
        later([callback = std::move(callback)] {
            callback(StoreOutcome::Done, std::nullopt);
        });
    }

    std::map<std::pair<Collection, std::string>, Record> records;
    std::uint64_t revision = 1;
    bool isAway = false;
    int watchesBegun = 0;
    std::chrono::milliseconds longestWait{};

private:
    struct Watch {
        Collection collection;
        std::uint64_t from;
        ListCallback callback;
    };
    template<typename Function>
    void later(Function function)
    {
        m_loop.post(std::move(function));
    }
    std::vector<Record> after(Collection collection, std::uint64_t from) const
    {
        std::vector<Record> found;
        for (const auto &[key, record] : records) {
            if (key.first == collection && record.revision > from) {
                found.push_back(record);
            }
        }
        return found;
    }
    void tellWatchers()
    {
        later([this] {
            std::vector<Watch> waiting;
            for (Watch &watch : std::exchange(m_watches, {})) {
                const auto events = after(watch.collection, watch.from);
                if (events.empty()) {
                    waiting.push_back(std::move(watch));
                } else {
                    watch.callback(StoreOutcome::Done, events, revision);
                }
            }
            m_watches.insert(m_watches.end(), std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
        });
    }

    EventLoop &m_loop;
    std::vector<Watch> m_watches;
};

/// Members that answer at once, each with a log position.
class FakeMembers : public MemberConnector
{
public:
    explicit FakeMembers(EventLoop &loop) : m_loop(loop)
    {}
    std::unique_ptr<MemberLink> connect(const MemberRecord &member, std::chrono::milliseconds, MemberLinkEvents events) override
    {
        const auto shared = std::make_shared<MemberLinkEvents>(std::move(events));
        const bool isDown = down.contains(member.id.text());
        m_loop.post([shared, isDown, this] {
            const auto keep = shared;
            if (isDown) {
                const auto failed = keep->failed;
                failed(ConnectFailure::Refused);
            } else if (keep->opened) {
                keep->opened();
            }
        });
        return std::make_unique<Link>(*this, member, shared);
    }

    std::set<std::string> down;
    std::vector<std::string> ran;
    decisions::Duration workTime{};

private:
    class Link : public MemberLink
    {
    public:
        Link(FakeMembers &members, const MemberRecord &member, std::shared_ptr<MemberLinkEvents> events)
            : m_members(members), m_member(member), m_events(std::move(events))
        {}
        ~Link() override
        {
            *m_events = {};
        }
        void send(const MemberCommand &command) override
        {
            const bool isClientWork = command.kind == CommandKind::Statement && !command.statement.id.empty();
            if (isClientWork) {
                m_members.ran.push_back(command.statement.id);
            }
            Answer answer
                = Answer::success(command.statement.kind == StatementKind::Begin ? SessionPhase::InTransaction : SessionPhase::Idle);
            answer.position = decisions::LogPosition{1, 1};
            answer.signature = isClientWork ? "signed" : "";
            std::optional<ReplicationStatus> status;
            if (command.kind == CommandKind::Status) {
                status = ReplicationStatus{m_member.isRegisteredAsPrimary, 1, {1, 1}, 0, 0, 0, 1};
            }
            m_members.m_loop.after(isClientWork ? m_members.workTime : decisions::Duration{}, [events = m_events, answer, status] {
                if (events->answered) {
                    const auto answered = events->answered;
                    answered(answer, status);
                }
            });
        }

    private:
        FakeMembers &m_members;
        MemberRecord m_member;
        std::shared_ptr<MemberLinkEvents> m_events;
    };

    EventLoop &m_loop;
};

class FakePromotions : public PromotionClient
{
public:
    void order(const ServiceName &, const MemberId &, const std::string &, std::uint64_t, std::function<void(PromotionResult)>) override
    {}
};

/// A client that keeps what it is told.
class FakeClient : public ClientChannel
{
public:
    void accept() override
    {
        isAccepted = true;
    }
    void refuse(StatementError error, const std::string &) override
    {
        refused = error;
        isClosed = true;
    }
    void answer(const Answer &answer) override
    {
        answers.push_back(answer);
    }
    void close() override
    {
        isClosed = true;
    }

    bool isAccepted = false;
    bool isClosed = false;
    std::optional<StatementError> refused;
    std::vector<Answer> answers;
};

/// One instance over fakes, on the test's own thread.
class InstanceFixture
{
public:
    explicit InstanceFixture(bool hasStore = true)
    {
        auto fakeStore = std::make_unique<FakeStore>(loop);
        auto fakeMembers = std::make_unique<FakeMembers>(loop);
        store = fakeStore.get();
        members = fakeMembers.get();
        store->isAway = !hasStore;
        fill();
        settings.instance = decisions::InstanceId("a1");
        settings.domain = decisions::FailureDomain("a");
        settings.ip = "127.0.0.1";
        settings.peerAddress = "127.0.0.1:0";
        settings.grace = 4s;
        settings.configurationBound = 3s;
        instance = std::make_unique<SessionInstance>(
            loop, settings, Ports{std::move(fakeStore), std::move(fakeMembers), std::make_unique<FakePromotions>()});
        instance->start();
    }
    void fill()
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
    /// Runs the loop until the condition holds; false after `limit`.
    template<typename Condition>
    bool runUntil(Condition isDone, std::chrono::milliseconds limit = 5s)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            loop.context().restart();
            loop.context().run_for(5ms);
        }
        return isDone();
    }
    std::pair<SessionNumber, std::shared_ptr<FakeClient>> open(const std::string &database = "shop")
    {
        auto client = std::make_shared<FakeClient>();
        const SessionNumber number = instance->front().sessionOpened(client, decisions::DatabaseName(database));
        return {number, client};
    }
    static Statement write(const std::string &id)
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
