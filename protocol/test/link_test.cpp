#include "link.pb.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanbeam::protocol::test
{

// A frame that cannot be parsed ends the stream, and with it the statements of all other sessions between the two instances.
TEST_CASE("A statement and its answer with bytes that are not UTF-8 can be sent between instances", "[link]")
{
    const std::string bytes = "a \xff\xfe\x80 b";
    link::v1::Frame statement;
    statement.mutable_statement()->set_id(bytes);
    statement.mutable_statement()->set_name(bytes);
    statement.mutable_statement()->set_arguments(bytes);
    statement.mutable_statement()->set_definition(bytes);
    statement.mutable_statement()->add_values()->set_value(bytes);
    link::v1::Frame reply;
    reply.mutable_reply()->add_rows(bytes);
    reply.mutable_reply()->set_signature(bytes);
    reply.mutable_reply()->set_error_text(bytes);
    for (const link::v1::Frame &frame : {statement, reply}) {
        link::v1::Frame received;
        REQUIRE(received.ParseFromString(frame.SerializeAsString()));
        CHECK(received.SerializeAsString() == frame.SerializeAsString());
    }
}

} // namespace rattanbeam::protocol::test
