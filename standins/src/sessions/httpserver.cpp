#include "rattanbeam/standins/sessions/objectstore.h"

#include "rattanbeam/standins/sessions/listening.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sstream>

namespace rattanbeam::standins::sessions
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{

HttpQuestion questionOf(const http::request<http::string_body> &request)
{
    HttpQuestion question;
    question.method = std::string(request.method_string());
    const std::string target(request.target());
    const auto mark = target.find('?');
    question.path = target.substr(0, mark);
    std::istringstream pairs(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
        const auto equals = pair.find('=');
        question.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    question.body = nlohmann::json::parse(request.body(), nullptr, false);
    for (const auto &field : request.base()) {
        question.headers[boost::algorithm::to_lower_copy(std::string(field.name_string()))] = std::string(field.value());
    }
    return question;
}

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, const HttpServer::Handler &handler) : m_stream(std::move(socket)), m_handler(handler)
    {}
    void read()
    {
        m_request = {};
        http::async_read(m_stream, m_buffer, m_request, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (!error) {
                self->m_handler(questionOf(self->m_request), [self](const HttpAnswer &answer) {
                    self->write(answer);
                });
            }
        });
    }

private:
    void write(const HttpAnswer &answer)
    {
        if (answer.isReset) {
            boost::system::error_code ignored;
            m_stream.socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
            m_stream.socket().close(ignored);
            return;
        }
        if (answer.status == 0) {
            return; // the peer's time-out ends it
        }
        m_response = {};
        m_response.version(11);
        m_response.result(answer.status);
        m_response.set(http::field::content_type, "application/json");
        for (const auto &[name, value] : answer.headers) {
            m_response.set(name, value);
        }
        m_response.body() = answer.body.is_null() ? "" : answer.body.dump();
        m_response.keep_alive(m_request.keep_alive());
        m_response.prepare_payload();
        http::async_write(m_stream, m_response, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (!error) {
                self->read();
            }
        });
    }

    boost::beast::tcp_stream m_stream;
    const HttpServer::Handler &m_handler;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
};

} // namespace

HttpServer::HttpServer(boost::asio::io_context &context, Handler handler)
    : m_acceptor(listenOnLoopback(context)), m_handler(std::move(handler)), m_address(addressOf(m_acceptor))
{
    accept();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (!error) {
            std::make_shared<Connection>(std::move(socket), m_handler)->read();
            accept();
        }
    });
}

} // namespace rattanbeam::standins::sessions
