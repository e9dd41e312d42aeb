#pragma once

#include "rattanbeam/sessions/eventloop.h"

#include "link.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

/// gRPC streams between instances, brought onto the event loop's thread.
namespace rattanbeam::sessions::internal
{

using link::v1::Frame;

/// One end of a stream. Frames are written in order; what is written after the end is dropped.
class FrameStream
{
public:
    virtual ~FrameStream() = default;
    virtual void write(const Frame &frame) = 0;
    virtual void close() = 0;
};

struct FrameEvents {
    std::function<void(const Frame &)> arrived;
    std::function<void()> ended;
};

/// Opens a stream to another instance. Events come on the loop's thread and stop after `ended`.
std::shared_ptr<FrameStream> connectInstance(EventLoop &loop, const std::string &address, FrameEvents events);

/// Accepts streams of other instances.
class InstanceServer
{
public:
    /// Called for each stream on the loop's thread; returns what handles its frames.
    using Accept = std::function<FrameEvents(const std::shared_ptr<FrameStream> &)>;

    InstanceServer(EventLoop &loop, const std::string &address, Accept accept);
    ~InstanceServer();
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
