#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility> // Boost.Asio 1.74 needs it first

#include <functional>
#include <memory>

namespace rattanbeam::sessions
{

/// The one thread on which sessions, homes and their connections live.
class EventLoop
{
public:
    /// Time that runs on while the machine is suspended, so that no lease outlives a pause.
    static decisions::TimePoint now();

    void run()
    {
        m_context.run();
    }
    void stop()
    {
        m_context.stop();
    }
    template<typename Function>
    void post(Function function)
    {
        boost::asio::post(m_context, std::move(function));
    }
    void after(decisions::Duration delay, std::function<void()> function);
    /// Calls `function` again and again.
    void every(decisions::Duration interval, std::function<void()> function);
    boost::asio::io_context &context()
    {
        return m_context;
    }

private:
    boost::asio::io_context m_context{1};
};

} // namespace rattanbeam::sessions
