#include "rattanbeam/sessions/eventloop.h"

#include "rattanbeam/kernel/logevent.h"

#include <ctime>
#include <exception>

namespace rattanbeam::sessions
{

namespace
{

/// Calls the function and returns whether it returned normally; logs what it throws.
template<typename Function>
bool callGuarded(Function &&function)
{
    try {
        function();
        return true;
    } catch (const std::exception &error) {
        kernel::LogEvent("unexpected-error", kernel::LogLevel::Error).with("reason", error.what());
    }
    return false;
}

} // namespace

EventLoop::EventLoop()
{
    m_poster->m_loop = this;
}

EventLoop::~EventLoop()
{
    const std::lock_guard lock(m_poster->m_mutex);
    m_poster->m_loop = nullptr;
}

void EventLoop::run()
{
    const auto runContext = [this] {
        m_context.run();
    };
    while (!callGuarded(runContext)) {
        // The function that threw has been taken off the loop; the rest goes on.
    }
}

decisions::TimePoint EventLoop::now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return decisions::TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

void EventLoop::after(decisions::Duration delay, std::function<void()> function)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code &error) {
        if (!error) {
            function();
        }
    });
}

void EventLoop::every(decisions::Duration interval, const std::function<void()> &function)
{
    const auto constantInterval = [interval] {
        return interval;
    };
    every(constantInterval, function);
}

void EventLoop::every(const std::function<decisions::Duration()> &interval, const std::function<void()> &function)
{
    after(interval(), [this, interval, function] {
        callGuarded(function);
        every(interval, function);
    });
}

} // namespace rattanbeam::sessions
