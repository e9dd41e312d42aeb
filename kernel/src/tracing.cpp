#include "rattanbeam/kernel/tracing.h"

#include <opentracing/mocktracer/recorder.h>
#include <opentracing/mocktracer/tracer.h>
#include <opentracing/propagation.h>

#include <charconv>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string_view>

namespace rattanbeam::kernel
{

namespace
{

using opentracing::mocktracer::Recorder;
using opentracing::mocktracer::SpanData;

std::string hex(std::uint64_t number)
{
    std::ostringstream text;
    text << std::hex << number;
    return text.str();
}

struct TagText {
    std::string operator()(const std::string &value) const
    {
        return value;
    }
    template<typename Other>
    std::string operator()(const Other & /*value*/) const
    {
        return "?";
    }
};

/// Writes each span as one line of key=value pairs when it ends, and keeps nothing.
class LineRecorder : public Recorder
{
public:
    LineRecorder(const std::string &file, std::string instance) : m_stream(file, std::ios::app), m_instance(std::move(instance))
    {}

    void RecordSpan(SpanData &&span) noexcept override
    {
        std::ostringstream line;
        const auto startUs = std::chrono::duration_cast<std::chrono::microseconds>(span.start_timestamp.time_since_epoch()).count();
        line << "trace=" << hex(span.span_context.trace_id) << " span=" << hex(span.span_context.span_id)
             << " parent=" << (span.references.empty() ? "0" : hex(span.references.front().span_id)) << " name=" << span.operation_name
             << " instance=" << m_instance << " start_us=" << startUs
             << " duration_us=" << std::chrono::duration_cast<std::chrono::microseconds>(span.duration).count();
        for (const auto &[key, value] : span.tags) {
            line << ' ' << key << '=' << opentracing::Value::visit(value, TagText{});
        }
        line << '\n';
        const std::lock_guard lock(m_mutex);
        m_stream << line.str() << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_stream;
    std::string m_instance;
};

/// Carries a span context as text between processes.
class TextCarrier : public opentracing::TextMapReader, public opentracing::TextMapWriter
{
public:
    explicit TextCarrier(std::string text = {}) : m_text(std::move(text))
    {}
    opentracing::expected<void> Set(opentracing::string_view /*key*/, opentracing::string_view value) const override
    {
        m_text = value;
        return {};
    }
    opentracing::expected<opentracing::string_view> LookupKey(opentracing::string_view /*key*/) const override
    {
        return opentracing::string_view(m_text);
    }
    opentracing::expected<void>
    ForeachKey(std::function<opentracing::expected<void>(opentracing::string_view, opentracing::string_view)> visit) const override
    {
        return visit("x-ot-span-context", m_text);
    }
    const std::string &text() const
    {
        return m_text;
    }

private:
    mutable std::string m_text;
};

/// Whether a text has the form of the tracer's own contexts: base64 of two 64-bit numbers and an empty list of baggage.
/// The library trusts what it extracts and crashes on anything else, and a caller may send anything.
bool isContext(const std::string &text)
{
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::string_view lastOfNumbers = "AQgw"; // two bits of the second number, four zero bits
    constexpr std::string_view noBaggage = "AAAAA=";
    constexpr std::size_t numbersLength = 22;
    if (text.size() != numbersLength + noBaggage.size() || text.substr(numbersLength) != noBaggage) {
        return false;
    }
    const std::string numbers = text.substr(0, numbersLength);
    return numbers.find_first_not_of(alphabet) == std::string::npos && lastOfNumbers.find(numbers.back()) != std::string_view::npos;
}

} // namespace

Span::Span(std::unique_ptr<opentracing::Span> span) : m_span(std::move(span))
{}

std::string Span::context() const
{
    if (!m_span) {
        return {};
    }
    TextCarrier carrier;
    m_span->tracer().Inject(m_span->context(), carrier);
    return carrier.text();
}

std::string Span::traceId() const
{
    return m_span ? m_span->context().ToTraceID() : std::string();
}

void Span::tag(const std::string &key, const std::string &value)
{
    if (m_span) {
        m_span->SetTag(key, value);
    }
}

void Span::finish()
{
    m_span.reset();
}

Tracing::Tracing(const std::string &file, std::uint32_t sampleEvery, const std::string &instance) : m_sampleEvery(sampleEvery)
{
    if (file.empty()) {
        return;
    }
    opentracing::mocktracer::MockTracerOptions options;
    options.recorder = std::make_unique<LineRecorder>(file, instance);
    m_tracer = std::make_shared<opentracing::mocktracer::MockTracer>(std::move(options));
}

Span Tracing::startSpan(const std::string &name, const std::string &parentContext, bool isRoot)
{
    if (!m_tracer) {
        return {};
    }
    if (isContext(parentContext)) {
        const auto parent = m_tracer->Extract(TextCarrier(parentContext));
        if (parent && *parent) {
            return Span(m_tracer->StartSpan(name, {opentracing::ChildOf(parent->get())}));
        }
    }
    if (!isRoot || m_requests++ % m_sampleEvery != 0) {
        return {};
    }
    return Span(m_tracer->StartSpan(name));
}

} // namespace rattanbeam::kernel
