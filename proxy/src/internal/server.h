#pragma once

#include "rattanbeam/proxy/internal/services.h"

#include <memory>
#include <string>

namespace rattanbeam::proxy::internal
{

/// The gRPC server of an instance: turns calls into messages to the services.
class Server
{
public:
    explicit Server(const ServiceContextPtr &context);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

    /// Binds the address of the settings; returns the bound port, or 0.
    int bind();
    /// Refuses new calls and waits for those under way until the deadline.
    void stop(decisions::TimePoint deadline);

private:
    class Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace rattanbeam::proxy::internal
