#pragma once

#include "rattanbeam/sessions/eventloop.h"

#include "link.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

/// gRPC streams between instances, with their events delivered on the event loop's thread.
namespace rattanbeam::sessions::internal
{

using link::v1::Frame;

/// One end of a bidirectional stream. Frames are sent in the order of the calls; those written after the stream has ended are
/// discarded without an error.
class FrameStream
{
public:
    virtual ~FrameStream() = default;
    virtual void write(const Frame &frame) = 0;
    /// Bytes of the frames that are not written yet.
    virtual std::size_t unwrittenBytes() const
    {
        return 0;
    }
    virtual void close() = 0;
};

/// Callbacks of a stream. Each may be empty.
struct FrameEvents {
    std::function<void(const Frame &)> arrived;
    std::function<void()> ended;
};

/// Opens a stream to the instance at `address`. The callbacks run on the loop's thread. `ended` is the last one, also when the
/// connection fails; after close() none is called.
std::shared_ptr<FrameStream> connectInstance(EventLoop &loop, const std::string &address, FrameEvents events);

/// Accepts streams from other instances.
class InstanceServer
{
public:
    /// Called on the loop's thread for each new stream; returns the stream's callbacks.
    using AcceptCallback = std::function<FrameEvents(const std::shared_ptr<FrameStream> &)>;

    InstanceServer(EventLoop &loop, const std::string &address, AcceptCallback accept);
    ~InstanceServer();
    /// False if the address could not be bound.
    bool isListening() const
    {
        return m_server != nullptr;
    }

private:
    class Service;
    std::unique_ptr<Service> m_service;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace rattanbeam::sessions::internal
