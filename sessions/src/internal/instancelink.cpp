#include "rattanbeam/sessions/internal/instancelink.h"

#include "rattanbeam/protocol/callbackthreads.h"

#include <utility>

namespace rattanbeam::sessions::internal
{

namespace
{

constexpr int maxMessageBytes = 8 << 20;
// After a longer frame, the next one is read only when the event loop has handled it. Otherwise gRPC's threads would fill the loop's
// queue with all that other instances send.
constexpr std::size_t largeFrameBytes = 16 << 10;

/// Frames to be written. gRPC allows only one write at a time per stream, so the frame being written stays at the front.
class WriteQueue
{
public:
    /// Appends a frame. Returns it if no other frame is being written, so that its write has to be started now.
    const Frame *push(const Frame &frame)
    {
        m_frames.push_back(frame);
        m_bytes += frame.ByteSizeLong();
        return m_frames.size() == 1 ? &m_frames.front() : nullptr;
    }
    /// Removes the frame whose write has ended. Returns the next one to write, or null.
    const Frame *popWritten()
    {
        m_bytes -= m_frames.front().ByteSizeLong();
        m_frames.pop_front();
        return m_frames.empty() ? nullptr : &m_frames.front();
    }

    /// Bytes of all frames, as they are sent.
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::deque<Frame> m_frames;
    std::size_t m_bytes = 0;
};

/// Posts the events of a stream from gRPC's threads to the event loop. Nothing is delivered once the stream has ended or, on
/// the connecting side, once its owner has closed it.
struct EventDispatcher {
    std::shared_ptr<EventLoop::Poster> poster; ///< The end of a stream may come after that of the loop.
    FrameEvents events; ///< Used on the loop's thread only.
    bool isEnded = false;

    /// Calls `handled`, if it is set, once the frame has been handled.
    static void postFrame(const std::shared_ptr<EventDispatcher> &self, std::shared_ptr<const Frame> frame, std::function<void()> handled)
    {
        self->poster->post([self, frame = std::move(frame), handled = std::move(handled)]() mutable {
            try {
                if (!self->isEnded && self->events.arrived) {
                    self->events.arrived(*frame);
                }
            } catch (...) {
                if (handled) {
                    handled();
                }
                throw;
            }
            frame.reset();
            if (handled) {
                handled();
            }
        });
    }
    static void postEnd(const std::shared_ptr<EventDispatcher> &self)
    {
        self->poster->post([self] {
            if (!std::exchange(self->isEnded, true) && self->events.ended) {
                self->events.ended();
            }
        });
    }
};

/// The connecting side of a stream.
class ClientStream : public grpc::ClientBidiReactor<Frame, Frame>
{
public:
    ClientStream(const std::string &address, std::shared_ptr<EventDispatcher> dispatcher) : m_dispatcher(std::move(dispatcher))
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetMaxReceiveMessageSize(maxMessageBytes);
        m_stub = link::v1::InstanceLink::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        m_stub->async()->Connect(&m_context, this);
    }
    /// Starts the call. The stream owns itself until gRPC reports that the call is done.
    void start(std::shared_ptr<ClientStream> self)
    {
        m_self = std::move(self);
        AddHold(); // required because writes are started outside of the reactor's callbacks
        StartRead(&m_incoming);
        StartCall();
    }
    void write(const Frame &frame)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed) {
            return;
        }
        if (const Frame *next = m_writeQueue.push(frame)) {
            StartWrite(next);
        }
    }
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (std::exchange(m_isClosed, true)) {
                return;
            }
        }
        m_context.TryCancel();
        RemoveHold();
    }
    void OnReadDone(bool isOk) override
    {
        if (!isOk) {
            EventDispatcher::postEnd(m_dispatcher);
            close();
            return;
        }
        auto frame = std::make_shared<const Frame>(std::move(m_incoming));
        m_incoming = Frame();
        if (frame->ByteSizeLong() <= largeFrameBytes) {
            EventDispatcher::postFrame(m_dispatcher, std::move(frame), {});
            StartRead(&m_incoming);
            return;
        }
        EventDispatcher::postFrame(m_dispatcher, std::move(frame), [self = m_self] {
            self->readNext();
        });
    }
    /// Reads on after a large frame, unless the stream was closed meanwhile.
    void readNext()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isClosed) {
            StartRead(&m_incoming);
        }
    }
    std::size_t unwrittenBytes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_writeQueue.bytes();
    }
    void OnWriteDone(bool isOk) override
    {
        const std::lock_guard lock(m_mutex);
        const Frame *next = m_writeQueue.popWritten();
        if (isOk && !m_isClosed && next != nullptr) {
            StartWrite(next);
        }
    }
    void OnDone(const grpc::Status &) override
    {
        EventDispatcher::postEnd(m_dispatcher);
        m_self.reset();
    }

private:
    std::shared_ptr<ClientStream> m_self;
    std::shared_ptr<EventDispatcher> m_dispatcher;
    std::unique_ptr<link::v1::InstanceLink::Stub> m_stub;
    grpc::ClientContext m_context;
    Frame m_incoming;
    mutable std::mutex m_mutex;
    WriteQueue m_writeQueue;
    bool m_isClosed = false;
};

/// The stream as its owner sees it; destroying it closes the stream.
class ClientHandle final : public FrameStream
{
public:
    ClientHandle(std::shared_ptr<ClientStream> stream, std::shared_ptr<EventDispatcher> dispatcher)
        : m_stream(std::move(stream)), m_dispatcher(std::move(dispatcher))
    {}
    ~ClientHandle() override
    {
        close();
    }
    void write(const Frame &frame) override
    {
        m_stream->write(frame);
    }
    std::size_t unwrittenBytes() const override
    {
        return m_stream->unwrittenBytes();
    }
    void close() override
    {
        m_dispatcher->isEnded = true;
        m_stream->close();
    }

private:
    std::shared_ptr<ClientStream> m_stream;
    std::shared_ptr<EventDispatcher> m_dispatcher;
};

class ServerStream;

/// The accepted stream as its owner sees it. May outlive the gRPC stream; calls are ignored then.
class ServerHandle : public FrameStream
{
public:
    explicit ServerHandle(ServerStream *stream) : m_stream(stream)
    {}
    void write(const Frame &frame) override;
    std::size_t unwrittenBytes() const override;
    void close() override;
    /// Reads on after a large frame.
    void readNext();
    void streamDone()
    {
        const std::lock_guard lock(m_mutex);
        m_stream = nullptr;
    }

private:
    mutable std::mutex m_mutex;
    ServerStream *m_stream;
};

/// The accepting side of a stream. Deletes itself when gRPC reports that the call is done.
class ServerStream : public grpc::ServerBidiReactor<Frame, Frame>
{
public:
    ServerStream(EventLoop &loop, const InstanceServer::AcceptCallback &accept) : m_handle(std::make_shared<ServerHandle>(this))
    {
        m_dispatcher = std::make_shared<EventDispatcher>(EventDispatcher{loop.poster(), {}});
        loop.post([accept, handle = m_handle, dispatcher = m_dispatcher] {
            dispatcher->events = accept(handle);
        });
        StartRead(&m_incoming);
    }
    void write(const Frame &frame)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isFinished) {
            return;
        }
        if (const Frame *next = m_writeQueue.push(frame)) {
            StartWrite(next);
        }
    }
    void finish()
    {
        const std::lock_guard lock(m_mutex);
        if (!std::exchange(m_isFinished, true)) {
            Finish(grpc::Status::OK);
        }
    }
    void OnReadDone(bool isOk) override
    {
        if (!isOk) {
            finish();
            return;
        }
        auto frame = std::make_shared<const Frame>(std::move(m_incoming));
        m_incoming = Frame();
        if (frame->ByteSizeLong() <= largeFrameBytes) {
            EventDispatcher::postFrame(m_dispatcher, std::move(frame), {});
            StartRead(&m_incoming);
            return;
        }
        EventDispatcher::postFrame(m_dispatcher, std::move(frame), [handle = m_handle] {
            handle->readNext();
        });
    }
    void readNext()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isFinished) {
            StartRead(&m_incoming);
        }
    }
    std::size_t unwrittenBytes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_writeQueue.bytes();
    }
    void OnWriteDone(bool isOk) override
    {
        const std::lock_guard lock(m_mutex);
        const Frame *next = m_writeQueue.popWritten();
        if (isOk && !m_isFinished && next != nullptr) {
            StartWrite(next);
        }
    }
    void OnCancel() override
    {
        finish();
    }
    void OnDone() override
    {
        m_handle->streamDone();
        EventDispatcher::postEnd(m_dispatcher);
        delete this;
    }

private:
    std::shared_ptr<ServerHandle> m_handle;
    std::shared_ptr<EventDispatcher> m_dispatcher;
    Frame m_incoming;
    mutable std::mutex m_mutex;
    WriteQueue m_writeQueue;
    bool m_isFinished = false;
};

void ServerHandle::write(const Frame &frame)
{
    const std::lock_guard lock(m_mutex);
    if (m_stream != nullptr) {
        m_stream->write(frame);
    }
}

std::size_t ServerHandle::unwrittenBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_stream == nullptr ? 0 : m_stream->unwrittenBytes();
}

void ServerHandle::readNext()
{
    const std::lock_guard lock(m_mutex);
    if (m_stream != nullptr) {
        m_stream->readNext();
    }
}

void ServerHandle::close()
{
    const std::lock_guard lock(m_mutex);
    if (m_stream != nullptr) {
        m_stream->finish();
    }
}

} // namespace

std::shared_ptr<FrameStream> connectInstance(EventLoop &loop, const std::string &address, FrameEvents events)
{
    protocol::keepCallbackThreads();
    const auto dispatcher = std::make_shared<EventDispatcher>(EventDispatcher{loop.poster(), std::move(events)});
    const auto stream = std::make_shared<ClientStream>(address, dispatcher);
    stream->start(stream);
    return std::make_shared<ClientHandle>(stream, dispatcher);
}

class InstanceServer::Service : public link::v1::InstanceLink::CallbackService
{
public:
    Service(EventLoop &loop, AcceptCallback accept) : m_loop(loop), m_accept(std::move(accept))
    {}
    grpc::ServerBidiReactor<Frame, Frame> *Connect(grpc::CallbackServerContext *) override
    {
        return new ServerStream(m_loop, m_accept);
    }

private:
    EventLoop &m_loop;
    AcceptCallback m_accept;
};

InstanceServer::InstanceServer(EventLoop &loop, const std::string &address, AcceptCallback accept)
    : m_service(std::make_unique<Service>(loop, std::move(accept)))
{
    protocol::keepCallbackThreads();
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(m_service.get());
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    m_server = builder.BuildAndStart();
}

InstanceServer::~InstanceServer()
{
    if (m_server) {
        m_server->Shutdown(std::chrono::system_clock::now());
    }
}

} // namespace rattanbeam::sessions::internal
