#include "rattanbeam/sessions/internal/instancelink.h"

#include <utility>

namespace rattanbeam::sessions::internal
{

namespace
{

constexpr int mostMessageBytes = 8 << 20;

/// Frames that wait for the transport, which takes one at a time.
class WriteQueue
{
public:
    /// The frame to write now, if none is being written.
    const Frame *push(const Frame &frame)
    {
        m_frames.push_back(frame);
        return m_frames.size() == 1 ? &m_frames.front() : nullptr;
    }
    const Frame *written()
    {
        m_frames.pop_front();
        return m_frames.empty() ? nullptr : &m_frames.front();
    }

private:
    std::deque<Frame> m_frames;
};

/// The events of a stream, reached from the transport's threads until the stream's owner lets go.
struct EventsOnLoop {
    EventLoop &loop;
    FrameEvents events; ///< used on the loop's thread only
    bool isEnded = false;

    static void arrived(const std::shared_ptr<EventsOnLoop> &self, std::shared_ptr<const Frame> frame)
    {
        self->loop.post([self, frame = std::move(frame)] {
            if (!self->isEnded && self->events.arrived) {
                self->events.arrived(*frame);
            }
        });
    }
    static void ended(const std::shared_ptr<EventsOnLoop> &self)
    {
        self->loop.post([self] {
            if (!std::exchange(self->isEnded, true) && self->events.ended) {
                self->events.ended();
            }
        });
    }
};

class ClientStream : public grpc::ClientBidiReactor<Frame, Frame>
{
public:
    ClientStream(const std::string &address, std::shared_ptr<EventsOnLoop> events) : m_events(std::move(events))
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetMaxReceiveMessageSize(mostMessageBytes);
        m_stub = link::v1::InstanceLink::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        m_stub->async()->Connect(&m_context, this);
    }
    /// Keeps itself until the call is done.
    void start(std::shared_ptr<ClientStream> self)
    {
        m_self = std::move(self);
        AddHold(); // writes come from outside the reactions
        StartRead(&m_incoming);
        StartCall();
    }
    void write(const Frame &frame)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed) {
            return;
        }
        if (const Frame *next = m_writes.push(frame)) {
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
            EventsOnLoop::ended(m_events);
            close();
            return;
        }
        EventsOnLoop::arrived(m_events, std::make_shared<const Frame>(std::move(m_incoming)));
        m_incoming = Frame();
        StartRead(&m_incoming);
    }
    void OnWriteDone(bool isOk) override
    {
        const std::lock_guard lock(m_mutex);
        const Frame *next = m_writes.written();
        if (isOk && !m_isClosed && next != nullptr) {
            StartWrite(next);
        }
    }
    void OnDone(const grpc::Status &) override
    {
        EventsOnLoop::ended(m_events);
        m_self.reset();
    }

private:
    std::shared_ptr<ClientStream> m_self;
    std::shared_ptr<EventsOnLoop> m_events;
    std::unique_ptr<link::v1::InstanceLink::Stub> m_stub;
    grpc::ClientContext m_context;
    Frame m_incoming;
    std::mutex m_mutex;
    WriteQueue m_writes;
    bool m_isClosed = false;
};

class ClientHandle final : public FrameStream
{
public:
    ClientHandle(std::shared_ptr<ClientStream> stream, std::shared_ptr<EventsOnLoop> events)
        : m_stream(std::move(stream)), m_events(std::move(events))
    {}
    ~ClientHandle() override
    {
        close();
    }
    void write(const Frame &frame) override
    {
        m_stream->write(frame);
    }
    void close() override
    {
        m_events->isEnded = true;
        m_stream->close();
    }

private:
    std::shared_ptr<ClientStream> m_stream;
    std::shared_ptr<EventsOnLoop> m_events;
};

class ServerStream;

/// Lets the owner of an accepted stream write to it until the transport has ended it.
class ServerHandle : public FrameStream
{
public:
    explicit ServerHandle(ServerStream *stream) : m_stream(stream)
    {}
    void write(const Frame &frame) override;
    void close() override;
    void streamDone()
    {
        const std::lock_guard lock(m_mutex);
        m_stream = nullptr;
    }

private:
    std::mutex m_mutex;
    ServerStream *m_stream;
};

class ServerStream : public grpc::ServerBidiReactor<Frame, Frame>
{
public:
    ServerStream(EventLoop &loop, const InstanceServer::Accept &accept) : m_handle(std::make_shared<ServerHandle>(this))
    {
        m_events = std::make_shared<EventsOnLoop>(EventsOnLoop{loop, {}});
        loop.post([accept, handle = m_handle, events = m_events] {
            events->events = accept(handle);
        });
        StartRead(&m_incoming);
    }
    void write(const Frame &frame)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isFinished) {
            return;
        }
        if (const Frame *next = m_writes.push(frame)) {
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
        EventsOnLoop::arrived(m_events, std::make_shared<const Frame>(std::move(m_incoming)));
        m_incoming = Frame();
        StartRead(&m_incoming);
    }
    void OnWriteDone(bool isOk) override
    {
        const std::lock_guard lock(m_mutex);
        const Frame *next = m_writes.written();
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
        EventsOnLoop::ended(m_events);
        delete this;
    }

private:
    std::shared_ptr<ServerHandle> m_handle;
    std::shared_ptr<EventsOnLoop> m_events;
    Frame m_incoming;
    std::mutex m_mutex;
    WriteQueue m_writes;
    bool m_isFinished = false;
};

void ServerHandle::write(const Frame &frame)
{
    const std::lock_guard lock(m_mutex);
    if (m_stream != nullptr) {
        m_stream->write(frame);
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
    const auto onLoop = std::make_shared<EventsOnLoop>(EventsOnLoop{loop, std::move(events)});
    const auto stream = std::make_shared<ClientStream>(address, onLoop);
    stream->start(stream);
    return std::make_shared<ClientHandle>(stream, onLoop);
}

class InstanceServer::Service : public link::v1::InstanceLink::CallbackService
{
public:
    Service(EventLoop &loop, Accept accept) : m_loop(loop), m_accept(std::move(accept))
    {}
    grpc::ServerBidiReactor<Frame, Frame> *Connect(grpc::CallbackServerContext *) override
    {
        return new ServerStream(m_loop, m_accept);
    }

private:
    EventLoop &m_loop;
    Accept m_accept;
};

InstanceServer::InstanceServer(EventLoop &loop, const std::string &address, Accept accept)
    : m_service(std::make_unique<Service>(loop, std::move(accept)))
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(m_service.get());
    builder.SetMaxReceiveMessageSize(mostMessageBytes);
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
