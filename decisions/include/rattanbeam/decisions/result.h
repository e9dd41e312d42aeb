#pragma once

#include <string>
#include <utility>
#include <variant>

namespace rattanbeam::decisions
{

/// An error in a configuration text, with the section and key in which it was found.
struct ConfigError {
    std::string section;
    std::string key;
    std::string message;

    /// One-line message for the operator: `orders.ini: [ranks] urgent: must be 1 to 100`.
    std::string text(const std::string &file) const;

    auto operator<=>(const ConfigError &) const = default;
};

/// Either a value or the error that explains why there is none.
///
///     const auto contract = parseContract(text);
///     if (!contract) {
///         print(contract.error().text(file));
///     }
template<typename Value, typename Error = ConfigError>
class Result
{
public:
    Result(Value value) // NOLINT(google-explicit-constructor): functions return a plain value or error
        : m_state(std::in_place_index<0>, std::move(value))
    {}
    Result(Error error) // NOLINT(google-explicit-constructor)
        : m_state(std::in_place_index<1>, std::move(error))
    {}

    explicit operator bool() const
    {
        return m_state.index() == 0;
    }
    const Value &value() const
    {
        return std::get<0>(m_state);
    }
    const Value &operator*() const
    {
        return value();
    }
    const Value *operator->() const
    {
        return &value();
    }
    const Error &error() const
    {
        return std::get<1>(m_state);
    }

private:
    std::variant<Value, Error> m_state;
};

} // namespace rattanbeam::decisions
