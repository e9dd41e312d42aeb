#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// Names of the things that decisions are about, each a type of its own so that one cannot stand for another.
namespace rattanbeam::decisions
{

/// A name whose type says what it names.
///
///     const CustomerId customer{"tiza"};
///     log << customer.text();
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) : m_text(std::move(text))
    {}

    const std::string &text() const
    {
        return m_text;
    }

    bool isEmpty() const
    {
        return m_text.empty();
    }

    auto operator<=>(const Name &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const Name &name)
    {
        return stream << name.m_text;
    }

private:
    std::string m_text;
};

using InstanceId = Name<struct InstanceTag>;
using MemberId = Name<struct MemberTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using CustomerId = Name<struct CustomerTag>;
using DatabaseName = Name<struct DatabaseTag>;
using RequestId = Name<struct RequestTag>;
using AttemptId = Name<struct AttemptTag>;

/// Stable 64-bit hash (FNV-1a with a final mix). Instances must agree on it, so std::hash will not do.
std::uint64_t stableHash(const std::string &text);

} // namespace rattanbeam::decisions

template<typename Tag>
struct std::hash<rattanbeam::decisions::Name<Tag>> {
    std::size_t operator()(const rattanbeam::decisions::Name<Tag> &name) const
    {
        return std::hash<std::string>{}(name.text());
    }
};
