#pragma once

#include "rattanbeam/decisions/memberhome.h"

#include "backend.pb.h"
#include "peer.pb.h"

/// A forwarded request's operation, as decisions and as backend servers name it.
namespace rattanbeam::proxy::internal
{

inline decisions::HomeOperation toHomeOperation(const peer::v1::ForwardRequest &request)
{
    switch (request.operation()) {
    case peer::v1::BEGIN:
        return decisions::HomeOperation::Begin;
    case peer::v1::COMMIT:
        return decisions::HomeOperation::Commit;
    case peer::v1::ROLLBACK:
        return decisions::HomeOperation::Rollback;
    default:
        return request.transaction().empty() ? decisions::HomeOperation::Execute : decisions::HomeOperation::Step;
    }
}

inline backend::v1::StatementKind toKind(decisions::HomeOperation operation)
{
    switch (operation) {
    case decisions::HomeOperation::Begin:
        return backend::v1::BEGIN;
    case decisions::HomeOperation::Step:
        return backend::v1::STEP;
    case decisions::HomeOperation::Commit:
        return backend::v1::COMMIT;
    case decisions::HomeOperation::Rollback:
        return backend::v1::ROLLBACK;
    case decisions::HomeOperation::Execute:
        break;
    }
    return backend::v1::SINGLE;
}

} // namespace rattanbeam::proxy::internal
