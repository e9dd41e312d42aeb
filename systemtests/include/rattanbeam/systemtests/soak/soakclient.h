#pragma once

#include "rattanbeam/systemtests/soak/auditor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <utility> // Boost.Asio 1.74 needs it first

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rattanbeam::systemtests::soak
{

/// What became of the clients' statements so far.
struct SoakCounts {
    std::size_t succeeded = 0;
    std::size_t refused = 0;
    std::size_t inDoubt = 0;
    std::size_t unanswered = 0;
};

/// A key that clients present, and the workspace that lists it.
struct SoakKey {
    std::string key;
    std::string workspace;
};

/// What all clients of one soak share.
struct SoakWorld {
    boost::asio::io_context &context;
    Auditor &auditor;
    std::mt19937 &choices;
    std::vector<SoakRoute> routes;
    std::vector<std::string> fronts;
    /// Whether the instance behind a front is stopping in order, with nothing else done to it.
    std::function<bool(const std::string &front)> isStoppingInOrder;
    SoakCounts counts;
    std::uint64_t lastSession = 0;
    std::uint64_t lastRequest = 0;
    bool isOver = false;
    /// Empty if clients are not identified.
    std::vector<SoakKey> keys{};
};

/// One client: opens sessions at any instance and asks one statement after the other, single ones, prepared ones and
/// transactions.
class SoakClient : public std::enable_shared_from_this<SoakClient>
{
public:
    explicit SoakClient(SoakWorld &world);
    void start();

private:
    struct Operation {
        std::vector<std::string> statements;
        bool isTransaction = false;
    };

    void connect();
    void read();
    void handle(const std::string &line);
    void answered();
    void planOperation();
    void ask();
    void send(const std::string &line);
    void lose();
    void after(std::chrono::milliseconds delay, void (SoakClient::*next)());
    int pick(int least, int most);

    SoakWorld &m_world;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_patience;
    boost::asio::streambuf m_buffer{1 << 20};
    SoakRoute m_route;
    std::string m_front;
    SoakKey m_key;
    std::uint64_t m_session = 0;
    std::uint64_t m_connection = 0;
    std::uint64_t m_transaction = 0;
    Clock::time_point m_transactionAt{};
    bool m_isOpened = false;
    bool m_isSetUp = false;
    Operation m_operation;
    std::size_t m_step = 0;
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::string> m_prepared;
    /// The request that is owed an answer; empty when there is none.
    std::string m_id;
    bool m_isMemberWork = false;
    std::string m_row;
    std::string m_signature;
    std::string m_error;
};

} // namespace rattanbeam::systemtests::soak
