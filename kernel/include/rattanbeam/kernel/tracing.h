#pragma once

#include <opentracing/tracer.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace rattanbeam::kernel
{

/// One hop of one request. An unsampled span costs nothing and has an empty context.
///
///     Span span = tracing.startSpan("forward", request.traceContext);
///     forward.traceContext = span.context();
///     span.tag("member", member.text());
class Span
{
public:
    Span() = default;
    explicit Span(std::unique_ptr<opentracing::Span> span);

    /// Text that carries the span to the next hop.
    std::string context() const;
    std::string traceId() const;
    void tag(const std::string &key, const std::string &value);
    void finish();

private:
    std::unique_ptr<opentracing::Span> m_span;
};

/// Makes spans and writes each as one line when it ends.
class Tracing
{
public:
    /// Writes to `file`, every `sampleEvery`-th new trace; an empty name traces nothing.
    Tracing(const std::string &file, std::uint32_t sampleEvery, const std::string &instance);

    /// A span under `parentContext`. Without a parent it starts a trace when `isRoot` and the sample says so.
    Span startSpan(const std::string &name, const std::string &parentContext, bool isRoot = false);

private:
    std::shared_ptr<opentracing::Tracer> m_tracer;
    std::uint32_t m_sampleEvery;
    std::atomic<std::uint64_t> m_requests{0};
};

} // namespace rattanbeam::kernel
