#include "rattanbeam/sessions/eventloop.h"

#include <ctime>

namespace rattanbeam::sessions
{

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

void EventLoop::every(decisions::Duration interval, std::function<void()> function)
{
    after(interval, [this, interval, function = std::move(function)] {
        function();
        every(interval, function);
    });
}

} // namespace rattanbeam::sessions
