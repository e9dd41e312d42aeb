#include "store.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace review
{

using nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds answerTime{4}; // as on the sites' sheets
const std::string root = "/objects/";

std::uint64_t numberIn(const std::map<std::string, std::string> &query, const std::string &key)
{
    const auto found = query.find(key);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

Store::Store(boost::asio::io_context &context) : m_context(context)
{}

std::size_t Store::addDoor()
{
    const std::size_t number = m_doors.size();
    m_doors.push_back(std::make_unique<Door>());
    m_doors.back()->server
        = std::make_unique<HttpServer>(m_context, [this, number](const HttpQuestion &question, const HttpServer::Answer &answer) {
              handle(number, question, answer);
          });
    return number;
}

void Store::handle(std::size_t number, const HttpQuestion &question, const HttpServer::Answer &answer)
{
    Door &door = *m_doors.at(number);
    if (door.mode == StoreMode::Silent) {
        door.lostAnswers.push_back(answer);
        return;
    }
    if (door.mode == StoreMode::Busy || door.mode == StoreMode::Resets) {
        answer({503, nullptr, door.mode == StoreMode::Resets});
        return;
    }
    if (question.query.contains("watch") && question.path.rfind(root, 0) == 0) {
        watch(question, question.path.substr(root.size()), [&door, answer](const HttpAnswer &found) {
            answer(door.mode == StoreMode::Serves ? found : HttpAnswer());
        });
        return;
    }
    if (question.method != "GET" && m_writeFate && m_writeFate(number, question) == Fate::Late) {
        door.lateWrites.push_back(question);
        door.lostAnswers.push_back(answer);
        return;
    }
    const HttpAnswer found = serve(question);
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, answerTime);
    timer->async_wait([timer, answer, found](const boost::system::error_code &) {
        answer(found);
    });
}

std::optional<unsigned> Store::doLateWrite(std::size_t number)
{
    Door &door = *m_doors.at(number);
    if (door.lateWrites.empty()) {
        return std::nullopt;
    }
    const HttpQuestion question = door.lateWrites.front();
    door.lateWrites.pop_front();
    return serve(question).status;
}

HttpAnswer Store::serve(const HttpQuestion &question)
{
    if (question.path.rfind(root, 0) != 0) {
        return {404, nullptr};
    }
    const std::string rest = question.path.substr(root.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (question.method == "GET" && name.empty()) {
        return list(kind);
    }
    const auto found = m_objects.find({kind, name});
    if (question.method == "GET") {
        return found == m_objects.end() ? HttpAnswer{404, nullptr} : HttpAnswer{200, found->second};
    }
    if (question.method == "DELETE") {
        return erase(question, {kind, name});
    }
    if (!question.body.is_object() || !question.body.contains("meta")) {
        return {400, nullptr};
    }
    return write(question, {kind, name.empty() ? question.body.at("meta").value("name", "") : name}, question.method == "POST");
}

HttpAnswer Store::list(const std::string &kind) const
{
    json items = json::array();
    for (const auto &[key, object] : m_objects) {
        if (key.first == kind) {
            items.push_back(object);
        }
    }
    return {200, {{"items", items}, {"hasMore", false}, {"currentRev", m_revision}}};
}

HttpAnswer Store::write(const HttpQuestion &question, const Key &key, bool isNew)
{
    const auto found = m_objects.find(key);
    const json &meta = question.body.at("meta");
    if (found == m_objects.end() && !isNew) {
        return {404, nullptr};
    }
    const bool isOther = found != m_objects.end()
                         && (isNew || (meta.contains("revision") && meta.at("revision") != found->second.at("meta").at("revision")));
    if (isOther) {
        return {409, found->second};
    }
    if (isNew || found->second.at("spec") != question.body.at("spec")) {
        put(key.first, key.second, question.body.at("spec"));
    }
    return {isNew ? 201U : 200U, m_objects.at(key)};
}

HttpAnswer Store::erase(const HttpQuestion &question, const Key &key)
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) {
        return {404, nullptr};
    }
    if (question.query.contains("revision") && numberIn(question.query, "revision") != found->second.at("meta").at("revision")) {
        return {409, found->second};
    }
    remove(key.first, key.second);
    return {200, nullptr};
}

json Store::spec(const std::string &kind, const std::string &name) const
{
    const auto found = m_objects.find({kind, name});
    return found == m_objects.end() ? json() : found->second.at("spec");
}

void Store::put(const std::string &kind, const std::string &name, const json &spec)
{
    json object = {{"meta", {{"name", name}, {"revision", m_revision + 1}}}, {"spec", spec}, {"status", nullptr}};
    m_objects[{kind, name}] = object;
    record(kind, object, false);
}

void Store::remove(const std::string &kind, const std::string &name)
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

void Store::record(const std::string &kind, const json &object, bool isRemoved)
{
    m_history.push_back({++m_revision, kind, object, isRemoved});
    boost::asio::post(m_context, [this] {
        std::erase_if(m_watches, [this](const auto &entry) {
            return answerWatch(entry.second, false);
        });
    });
}

void Store::watch(const HttpQuestion &question, const std::string &kind, const HttpServer::Answer &answer)
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

bool Store::answerWatch(const Watch &watch, bool isOver) const
{
    json events = json::array();
    for (const Event &event : m_history) {
        if (event.revision > watch.after && event.kind == watch.kind) {
            events.push_back({{"object", event.object}, {"removed", event.isRemoved}});
        }
    }
    if (events.empty() && !isOver) {
        return false;
    }
    watch.answer({200, {{"events", events}, {"currentRev", m_revision}}});
    return true;
}

} // namespace review
