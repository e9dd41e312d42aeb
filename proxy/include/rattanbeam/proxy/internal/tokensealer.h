#pragma once

#include "rattanbeam/decisions/sessiontoken.h"

#include <optional>
#include <string>

namespace rattanbeam::proxy::internal
{

/// Seals session tokens, so that callers can carry but not make them. Two keys are valid during a rotation.
///
///     const TokenSealer sealer(key, previousKey);
///     const std::string sealed = sealer.seal(token);
///     const auto token = sealer.open(sealed); // nothing when it was not sealed with either key
class TokenSealer
{
public:
    /// Keys as 64 hexadecimal digits; the previous one may be empty.
    TokenSealer(const std::string &key, const std::string &previousKey);

    std::string seal(const decisions::SessionToken &token) const;
    /// An empty text is an empty token.
    std::optional<decisions::SessionToken> open(const std::string &sealed) const;

private:
    std::string m_key;
    std::string m_previousKey;
};

/// Lower-case hexadecimal SHA-256.
std::string sha256Hex(const std::string &text);

/// Compares in a time that does not depend on where the texts differ.
bool equalInConstantTime(const std::string &left, const std::string &right);

/// A random name for a request that came without one.
std::string randomId();

} // namespace rattanbeam::proxy::internal
