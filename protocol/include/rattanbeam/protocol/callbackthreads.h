#pragma once

namespace rattanbeam::protocol
{

/// Keeps the threads on which gRPC runs callbacks until the process ends. Otherwise the end of the process's last channel or server joins
/// them. A call that ends may own that channel, and ends on one of these threads, which then joins itself: gRPC aborts the process.
/// To be called before the first use of gRPC's callback interface; may be called again.
void keepCallbackThreads();

} // namespace rattanbeam::protocol
