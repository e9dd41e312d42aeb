#include "rattanbeam/proxy/internal/memberclient.h"

#include "backend.grpc.pb.h"

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

namespace rattanbeam::proxy::internal::test
{

namespace
{

using namespace std::chrono_literals;

/// Answers each statement with its number.
class EchoingStream : public grpc::ServerBidiReactor<backend::v1::StatementFrame, backend::v1::AnswerFrame>
{
public:
    EchoingStream()
    {
        StartRead(&m_statement);
    }
    void OnReadDone(bool isOk) override
    {
        if (!isOk) {
            Finish(grpc::Status::OK);
            return;
        }
        m_answer.set_correlation(m_statement.correlation());
        StartWrite(&m_answer);
    }
    void OnWriteDone(bool isOk) override
    {
        if (isOk) {
            StartRead(&m_statement);
        } else {
            Finish(grpc::Status::CANCELLED);
        }
    }
    void OnDone() override
    {
        delete this;
    }

private:
    backend::v1::StatementFrame m_statement;
    backend::v1::AnswerFrame m_answer;
};

class EchoingMember : public backend::v1::Member::CallbackService
{
public:
    EchoingMember()
    {
        int port = 0;
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
        m_address = "127.0.0.1:" + std::to_string(port);
    }
    ~EchoingMember() override
    {
        m_server->Shutdown(std::chrono::system_clock::now());
    }
    EchoingMember(const EchoingMember &) = delete;
    EchoingMember &operator=(const EchoingMember &) = delete;

    grpc::ServerBidiReactor<backend::v1::StatementFrame, backend::v1::AnswerFrame> *Connect(grpc::CallbackServerContext *) override
    {
        return new EchoingStream;
    }
    const std::string &address() const
    {
        return m_address;
    }

private:
    std::unique_ptr<grpc::Server> m_server;
    std::string m_address;
};

} // namespace

TEST_CASE("Statements sent before the write of the one before has ended all reach the member in order", "[member]")
{
    constexpr std::uint64_t statementCount = 100;
    const EchoingMember member;
    std::vector<std::uint64_t> answered;
    std::promise<void> allAnswered;
    std::promise<void> closed;
    {
        MemberConnection connection(member.address(),
                                    {[] {},
                                     [&](const backend::v1::AnswerFrame &answer) {
                                         answered.push_back(answer.correlation());
                                         if (answered.size() == statementCount) {
                                             allAnswered.set_value();
                                         }
                                     },
                                     [&] {
                                         closed.set_value();
                                     }});
        for (std::uint64_t number = 1; number <= statementCount; ++number) {
            backend::v1::StatementFrame statement;
            statement.set_correlation(number);
            connection.send(statement);
        }
        allAnswered.get_future().wait();
    }
    closed.get_future().wait();
    for (std::uint64_t number = 1; number <= statementCount; ++number) {
        CHECK(answered.at(number - 1) == number);
    }
}

} // namespace rattanbeam::proxy::internal::test
