#pragma once

#include "rattanbeam/decisions/memberhome.h"

#include <chrono>

/// What the parts of a member's home share.
namespace rattanbeam::decisions
{

/// When a write may be worth a repeat after a refusal.
inline constexpr std::chrono::milliseconds promotionPause{50};

inline bool continuesTransaction(HomeOperation operation)
{
    return operation == HomeOperation::Step || operation == HomeOperation::Commit || operation == HomeOperation::Rollback;
}

inline bool needsPrimary(const HomeRequest &request)
{
    return request.isWrite || request.operation == HomeOperation::Begin;
}

/// Answers that tell of a lasting change wait for their confirmation.
inline bool tellsOfWrite(const HomeRequest &request)
{
    return request.operation == HomeOperation::Commit || (request.operation == HomeOperation::Execute && request.isWrite);
}

} // namespace rattanbeam::decisions
