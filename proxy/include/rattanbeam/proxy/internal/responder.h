#pragma once

#include <functional>
#include <utility>

namespace rattanbeam::proxy::internal
{

/// The one answer that a request is owed. If its owner drops it unanswered, the fallback is sent, so that no request
/// is silently lost. Kept in a shared pointer; answered by one thread at a time.
///
///     auto responder = std::make_shared<Responder<Reply>>(send, fallback);
///     responder->answer(reply);
template<typename Reply>
class Responder
{
public:
    using Send = std::function<void(const Reply &)>;

    Responder(Send send, Reply fallback) : m_send(std::move(send)), m_fallback(std::move(fallback))
    {}
    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;
    ~Responder()
    {
        answer(m_fallback);
    }

    /// Only the first answer counts.
    void answer(const Reply &reply)
    {
        if (const Send send = std::exchange(m_send, nullptr)) {
            send(reply);
        }
    }

private:
    Send m_send;
    Reply m_fallback;
};

} // namespace rattanbeam::proxy::internal
