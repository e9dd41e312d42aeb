#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// Identifiers with a separate type for each kind of thing, so that one cannot be passed in place of another.
namespace rattanbeam::decisions
{

/// A text identifier. `Tag` makes a distinct type for each kind of thing that is identified.
///
///     const CustomerId customer{"tiza"};
///     log << customer.text();
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string text) : m_text(std::move(text))
    {}

    const std::string &text() const
    {
        return m_text;
    }

    bool isEmpty() const
    {
        return m_text.empty();
    }

    auto operator<=>(const Identifier &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const Identifier &identifier)
    {
        return stream << identifier.m_text;
    }

private:
    std::string m_text;
};

using InstanceId = Identifier<struct InstanceTag>;
using MemberId = Identifier<struct MemberTag>;
using FailureDomain = Identifier<struct FailureDomainTag>;
using CustomerId = Identifier<struct CustomerTag>;
using DatabaseName = Identifier<struct DatabaseTag>;
using RequestId = Identifier<struct RequestTag>;
using AttemptId = Identifier<struct AttemptTag>;

/// 64-bit hash (FNV-1a with a finalizer) that is the same in every process. Instances must agree on it, which std::hash
/// does not guarantee.
std::uint64_t stableHash(const std::string &text);

} // namespace rattanbeam::decisions

template<typename Tag>
struct std::hash<rattanbeam::decisions::Identifier<Tag>> {
    std::size_t operator()(const rattanbeam::decisions::Identifier<Tag> &identifier) const
    {
        return std::hash<std::string>{}(identifier.text());
    }
};
