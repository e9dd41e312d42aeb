#include "rattanbeam/standins/sessions/objectstore.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace rattanbeam::standins::sessions
{

using nlohmann::json;

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusCreated = 201;
constexpr unsigned statusBad = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusGone = 410;
constexpr unsigned statusUnavailable = 503;
constexpr std::chrono::milliseconds answerTime{2};
const std::string root = "/objects/";

std::uint64_t numberIn(const std::map<std::string, std::string> &query, const std::string &key)
{
    const auto found = query.find(key);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::uint64_t revisionOf(const json &object)
{
    return object.at("meta").at("revision").get<std::uint64_t>();
}

} // namespace

ObjectStore::ObjectStore(boost::asio::io_context &context) : m_context(context)
{}

std::size_t ObjectStore::addDoor()
{
    m_doors.push_back(std::make_unique<Door>());
    Door &door = *m_doors.back();
    door.server = std::make_unique<HttpServer>(m_context, [this, &door](const HttpQuestion &question, const HttpServer::Answer &answer) {
        handle(door, question, answer);
    });
    return m_doors.size() - 1;
}

void ObjectStore::handle(Door &door, const HttpQuestion &question, const HttpServer::Answer &plainAnswer)
{
    ++m_calls;
    // The era is that of the moment in which the answer is made, which may be sent later.
    const auto answer = [plainAnswer](HttpAnswer found, const std::optional<std::uint64_t> &era) {
        if (era) {
            found.headers["Store-Era"] = std::to_string(*era);
        }
        plainAnswer(found);
    };
    if (door.mode == StoreMode::Silent) {
        return;
    }
    if (door.mode == StoreMode::Busy || door.mode == StoreMode::Resets) {
        answer({statusUnavailable, nullptr, door.mode == StoreMode::Resets}, m_era);
        return;
    }
    if (question.query.contains("watch") && question.path.rfind(root, 0) == 0) {
        watch(question, question.path.substr(root.size()), [this, &door, answer](const HttpAnswer &found) {
            // A watch that waited while its door was shut hears nothing more.
            answer(door.mode == StoreMode::Serves ? found : HttpAnswer(), m_era);
        });
        return;
    }
    const auto era = m_era;
    const HttpAnswer found = serve(question);
    if (door.mode == StoreMode::LosesAnswers) {
        answer({0, nullptr, true}, era);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, answerTime);
    timer->async_wait([timer, answer, found, era](const boost::system::error_code &) {
        answer(found, era);
    });
}

HttpAnswer ObjectStore::serve(const HttpQuestion &question)
{
    if (question.path.rfind(root, 0) != 0) {
        return {statusNotFound, nullptr};
    }
    const std::string rest = question.path.substr(root.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (question.method == "GET" && name.empty()) {
        const auto after = question.query.find("after");
        HttpAnswer answer = list(kind, after == question.query.end() ? "" : after->second);
        if (m_pageListener) {
            m_pageListener();
        }
        return answer;
    }
    const auto found = m_objects.find({kind, name});
    if (question.method == "GET") {
        return found == m_objects.end() ? HttpAnswer{statusNotFound, nullptr} : HttpAnswer{statusOk, found->second};
    }
    if (question.method == "DELETE") {
        return erase(question, {kind, name});
    }
    if (!question.body.is_object() || !question.body.contains("meta")) {
        return {statusBad, nullptr};
    }
    return write(question, {kind, name.empty() ? question.body.at("meta").value("name", "") : name}, question.method == "POST");
}

HttpAnswer ObjectStore::list(const std::string &kind, const std::string &after) const
{
    json items = json::array();
    bool hasMore = false;
    for (const auto &[key, object] : m_objects) {
        if (key.first == kind && (after.empty() || key.second > after)) {
            hasMore = items.size() == m_pageSize;
            if (hasMore) {
                break;
            }
            items.push_back(object);
        }
    }
    return {statusOk, {{"items", items}, {"hasMore", hasMore}, {"currentRev", m_revision}}};
}

HttpAnswer ObjectStore::conflict(const Key &key) const
{
    return {statusConflict, m_objects.at(key)};
}

HttpAnswer ObjectStore::write(const HttpQuestion &question, const Key &key, bool isNew)
{
    const auto found = m_objects.find(key);
    const json &meta = question.body.at("meta");
    if (found == m_objects.end() && !isNew) {
        return {statusNotFound, nullptr};
    }
    const bool isOther = found != m_objects.end()
                         && (isNew || (meta.contains("revision") && meta.at("revision") != found->second.at("meta").at("revision")));
    if (isOther) {
        return conflict(key);
    }
    if (isNew || found->second.at("spec") != question.body.at("spec")) {
        put(key.first, key.second, question.body.at("spec"));
    }
    return {isNew ? statusCreated : statusOk, m_objects.at(key)};
}

HttpAnswer ObjectStore::erase(const HttpQuestion &question, const Key &key)
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) {
        return {statusNotFound, nullptr};
    }
    if (question.query.contains("revision") && numberIn(question.query, "revision") != revisionOf(found->second)) {
        return conflict(key);
    }
    remove(key.first, key.second);
    return {statusOk, nullptr};
}

void ObjectStore::put(const std::string &kind, const std::string &name, const json &spec)
{
    json object = {{"meta", {{"name", name}, {"revision", m_revision + 1}}}, {"spec", spec}, {"status", nullptr}};
    m_objects[{kind, name}] = object;
    record(kind, object, false);
}

void ObjectStore::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_objects.find({kind, name});
    if (found == m_objects.end()) {
        return;
    }
    json object = found->second;
    object["meta"]["revision"] = m_revision + 1;
    m_objects.erase(found);
    record(kind, object, true);
}

void ObjectStore::record(const std::string &kind, const json &object, bool isRemoved)
{
    m_history.push_back({++m_revision, kind, object, isRemoved});
    boost::asio::post(m_context, [this] {
        std::erase_if(m_watches, [this](const auto &entry) {
            return answerWatch(entry.second, false);
        });
    });
}

void ObjectStore::compact()
{
    m_history.clear();
    m_historyStart = m_revision;
}

void ObjectStore::restore(const Copy &copy)
{
    m_objects = copy.objects;
    m_revision = copy.revision;
    std::erase_if(m_history, [this](const Event &event) {
        return event.revision > m_revision;
    });
    m_historyStart = std::min(m_historyStart, m_revision);
    for (const auto &[number, watch] : std::exchange(m_watches, {})) {
        watch.answer({statusUnavailable, nullptr, true});
    }
    m_era = m_era.value_or(0) + 1;
}

void ObjectStore::watch(const HttpQuestion &question, const std::string &kind, const HttpServer::Answer &answer)
{
    const Watch watch{kind, numberIn(question.query, "watch"), answer};
    if (answerWatch(watch, false)) {
        return;
    }
    const std::uint64_t number = ++m_lastWatch;
    m_watches[number] = watch;
    const auto wait = std::chrono::milliseconds(numberIn(question.query, "waitMs"));
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, wait);
    timer->async_wait([this, timer, number](const boost::system::error_code &) {
        const auto found = m_watches.find(number);
        if (found != m_watches.end()) {
            answerWatch(found->second, true);
            m_watches.erase(found);
        }
    });
}

bool ObjectStore::answerWatch(const Watch &watch, bool isOver) const
{
    if (watch.after < m_historyStart || watch.after > m_revision) {
        watch.answer({statusGone, nullptr});
        return true;
    }
    json events = json::array();
    for (const Event &event : m_history) {
        if (event.revision > watch.after && event.kind == watch.kind) {
            events.push_back({{"object", event.object}, {"removed", event.isRemoved}});
        }
    }
    if (events.empty() && !isOver) {
        return false;
    }
    watch.answer({statusOk, {{"events", events}, {"currentRev", m_revision}}});
    return true;
}

} // namespace rattanbeam::standins::sessions
