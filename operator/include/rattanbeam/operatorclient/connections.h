#pragma once

#include "caller.pb.h"
#include "peer.pb.h"
#include "platform.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbeam::operatorclient
{

/// Calls to the platform's object API, one at a time. Nothing means that no answer came.
///
///     PlatformSession platform("10.0.0.9:7000");
///     const auto object = platform.read("contract/tiza");
class PlatformSession
{
public:
    explicit PlatformSession(const std::string &address);
    PlatformSession(const PlatformSession &) = delete;
    PlatformSession &operator=(const PlatformSession &) = delete;
    ~PlatformSession();

    std::optional<platform::v1::Object> read(const std::string &key);
    /// Objects that exist and whose key starts with `prefix`.
    std::optional<std::vector<platform::v1::Object>> list(const std::string &prefix);
    /// Conditional update. A lost answer is resolved by reading the object back.
    std::optional<platform::v1::WriteReply>
    write(const std::string &key, const std::string &text, std::uint64_t expectedVersion, bool remove);
    std::optional<platform::v1::InstanceList> instances();

private:
    class Stub;
    std::unique_ptr<Stub> m_stub;
};

/// Asks one instance what it knows.
std::optional<peer::v1::ShowReply> showInstance(const std::string &address, const std::string &key);

enum class StatementCall {
    Execute,
    Begin,
    Commit,
    Rollback,
};

/// Sends a statement to one instance.
std::optional<caller::v1::StatementReply>
sendStatement(const std::string &address, StatementCall call, const caller::v1::StatementRequest &request);

} // namespace rattanbeam::operatorclient
