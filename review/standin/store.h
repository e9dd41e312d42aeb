#pragma once

#include "rattanbeam/standins/sessions/objectstore.h"

#include <boost/asio/io_context.hpp>
#include <utility> // Boost.Asio 1.74 needs it first

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review
{

using rattanbeam::standins::sessions::HttpAnswer;
using rattanbeam::standins::sessions::HttpQuestion;
using rattanbeam::standins::sessions::HttpServer;
using rattanbeam::standins::sessions::StoreMode;

/// The metadata store as PROTOCOL.md tells it, with a door for each instance. Unlike the project's stand-in, it lets a case do a write
/// late and without an answer, as long as its condition still holds.
class Store
{
public:
    /// What becomes of one write of an instance.
    enum class Fate {
        Done,
        Late, ///< Not answered; done when the case says so, if its condition still holds then.
    };
    /// `door`, method, path and body of a write.
    using WriteFate = std::function<Fate(std::size_t door, const HttpQuestion &question)>;

    explicit Store(boost::asio::io_context &context);

    std::size_t addDoor();
    const std::string &address(std::size_t door) const
    {
        return m_doors.at(door)->server->address();
    }
    void setMode(std::size_t door, StoreMode mode)
    {
        m_doors.at(door)->mode = mode;
    }
    void decideWrites(WriteFate fate)
    {
        m_writeFate = std::move(fate);
    }
    /// Does the oldest late write of the door. Returns its status, or nothing if there is none.
    std::optional<unsigned> doLateWrite(std::size_t door);
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    /// The object's spec; null if there is none.
    nlohmann::json spec(const std::string &kind, const std::string &name) const;

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
        std::deque<HttpQuestion> lateWrites;
        /// Answers that are never given; their connections stay open and return nothing further.
        std::vector<HttpServer::Answer> lostAnswers;
    };
    using Key = std::pair<std::string, std::string>;

    void handle(std::size_t number, const HttpQuestion &question, const HttpServer::Answer &answer);
    HttpAnswer serve(const HttpQuestion &question);
    HttpAnswer list(const std::string &kind) const;
    HttpAnswer write(const HttpQuestion &question, const Key &key, bool isNew);
    HttpAnswer erase(const HttpQuestion &question, const Key &key);
    void watch(const HttpQuestion &question, const std::string &kind, const HttpServer::Answer &answer);
    bool answerWatch(const Watch &watch, bool isOver) const;
    void record(const std::string &kind, const nlohmann::json &object, bool isRemoved);

    boost::asio::io_context &m_context;
    std::vector<std::unique_ptr<Door>> m_doors;
    std::map<Key, nlohmann::json> m_objects;
    std::deque<Event> m_history;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_lastWatch = 0;
    std::uint64_t m_revision = 1;
    WriteFate m_writeFate;
};

} // namespace review
