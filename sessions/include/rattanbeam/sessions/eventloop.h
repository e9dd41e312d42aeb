#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility> // Boost.Asio 1.74 needs it first

#include <functional>
#include <memory>
#include <mutex>

namespace rattanbeam::sessions
{

/// The event loop of an instance. Sessions, homes and their connections run on the one thread that calls run(). One failed function does
/// not end the process, since all other sessions depend on it too.
class EventLoop
{
public:
    /// Posts to a loop from threads that may outlive it. What is posted after the loop's end is dropped.
    class Poster
    {
    public:
        template<typename Function>
        void post(Function function)
        {
            const std::lock_guard lock(m_mutex);
            if (m_loop != nullptr) {
                m_loop->post(std::move(function));
            }
        }

    private:
        friend class EventLoop;
        std::mutex m_mutex;
        EventLoop *m_loop = nullptr;
    };

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Monotonic time that also advances while the machine is suspended, so that no lease outlasts a suspension.
    static decisions::TimePoint now();

    /// Runs until stop(). An exception that a function on the loop throws ends that function only: it is logged, and the loop goes on.
    void run();
    void stop()
    {
        m_context.stop();
    }
    template<typename Function>
    void post(Function function)
    {
        boost::asio::post(m_context, std::move(function));
    }
    std::shared_ptr<Poster> poster() const
    {
        return m_poster;
    }
    /// Calls `function` once, after `delay`.
    void after(decisions::Duration delay, std::function<void()> function);
    /// Calls `function` repeatedly, each time `interval` after the previous call has returned or thrown.
    void every(decisions::Duration interval, const std::function<void()> &function);
    /// As above, with an interval that is asked for after each call.
    void every(const std::function<decisions::Duration()> &interval, const std::function<void()> &function);
    boost::asio::io_context &context()
    {
        return m_context;
    }

private:
    boost::asio::io_context m_context{1};
    std::shared_ptr<Poster> m_poster = std::make_shared<Poster>();
};

} // namespace rattanbeam::sessions
