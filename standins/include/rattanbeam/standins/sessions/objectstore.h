#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <utility> // Boost.Asio 1.74 needs it first

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbeam::standins::sessions
{

/// One HTTP answer; none is sent when `status` is 0.
struct HttpAnswer {
    unsigned status = 0;
    nlohmann::json body;
    /// Ends the connection with a reset.
    bool isReset = false;
    std::map<std::string, std::string> headers{};
};

struct HttpQuestion {
    std::string method;
    /// The path without its query.
    std::string path;
    std::map<std::string, std::string> query;
    nlohmann::json body;
    /// Header fields; names in lower case.
    std::map<std::string, std::string> headers{};
};

/// A small HTTP server whose handler answers now or later.
class HttpServer
{
public:
    using Answer = std::function<void(const HttpAnswer &)>;
    using Handler = std::function<void(const HttpQuestion &, const Answer &)>;

    HttpServer(boost::asio::io_context &context, Handler handler);
    const std::string &address() const
    {
        return m_address;
    }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::string m_address;
};

/// How a door of the store treats its callers.
enum class StoreMode {
    Serves,
    Silent,
    Busy, ///< Answers 503 and does nothing.
    Resets,
    LosesAnswers, ///< Does what is asked and answers nothing.
};

/// Objects by kind and name with revisions, conditional writes and watches, behind any number of doors, so that a test can
/// shut the store to some callers only.
///
///     ObjectStore store(context);
///     const auto door = store.addDoor();
///     store.put("config", "main", {{"version", 1}});
///     store.setMode(door, StoreMode::Silent);
class ObjectStore
{
public:
    explicit ObjectStore(boost::asio::io_context &context);

    std::size_t addDoor();
    const std::string &address(std::size_t door) const
    {
        return m_doors.at(door)->server->address();
    }
    void setMode(std::size_t door, StoreMode mode)
    {
        m_doors.at(door)->mode = mode;
    }
    /// Objects that a list gives at once.
    void setPageSize(std::size_t objects)
    {
        m_pageSize = objects;
    }
    /// Called after each page of a list was made.
    void onPage(std::function<void()> listener)
    {
        m_pageListener = std::move(listener);
    }
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    bool contains(const std::string &kind, const std::string &name) const
    {
        return m_objects.contains({kind, name});
    }
    /// Drops the history: watches of the past have to begin with a list.
    void compact();
    std::uint64_t calls() const
    {
        return m_calls;
    }

    /// What the store holds at one moment.
    struct Copy {
        std::map<std::pair<std::string, std::string>, nlohmann::json> objects;
        std::uint64_t revision = 0;
    };
    Copy copy() const
    {
        return {m_objects, m_revision};
    }
    /// Comes back from the copy: later objects and revisions are lost, revisions are assigned again, and the era in the answers rises by
    /// one. Watches that wait end with the connection.
    void restore(const Copy &copy);
    /// The era in all answers; without one, answers have no such header.
    void setEra(std::uint64_t era)
    {
        m_era = era;
    }

private:
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool isRemoved = false;
    };
    struct Watch {
        std::string kind;
        std::uint64_t after = 0;
        HttpServer::Answer answer;
    };
    struct Door {
        std::unique_ptr<HttpServer> server;
        StoreMode mode = StoreMode::Serves;
    };
    using Key = std::pair<std::string, std::string>;

    void handle(Door &door, const HttpQuestion &question, const HttpServer::Answer &plainAnswer);
    HttpAnswer serve(const HttpQuestion &question);
    HttpAnswer list(const std::string &kind, const std::string &after) const;
    HttpAnswer write(const HttpQuestion &question, const Key &key, bool isNew);
    HttpAnswer erase(const HttpQuestion &question, const Key &key);
    void watch(const HttpQuestion &question, const std::string &kind, const HttpServer::Answer &answer);
    bool answerWatch(const Watch &watch, bool isOver) const;
    void record(const std::string &kind, const nlohmann::json &object, bool isRemoved);
    HttpAnswer conflict(const Key &key) const;

    boost::asio::io_context &m_context;
    std::vector<std::unique_ptr<Door>> m_doors;
    std::map<Key, nlohmann::json> m_objects;
    std::deque<Event> m_history;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_lastWatch = 0;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyStart = 1;
    std::uint64_t m_calls = 0;
    std::size_t m_pageSize = 500;
    std::function<void()> m_pageListener;
    std::optional<std::uint64_t> m_era;
};

} // namespace rattanbeam::standins::sessions
