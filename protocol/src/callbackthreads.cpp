#include "rattanbeam/protocol/callbackthreads.h"

#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

namespace rattanbeam::protocol
{

void keepCallbackThreads()
{
    // Not destroyed at the end of the process: calls may end while static objects are destroyed. The server listens nowhere.
    [[maybe_unused]] static const grpc::Server *const server = [] {
        grpc::ServerBuilder builder;
        builder.RegisterCallbackGenericService(new grpc::CallbackGenericService);
        return builder.BuildAndStart().release();
    }();
}

} // namespace rattanbeam::protocol
