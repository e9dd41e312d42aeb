#pragma once

#include "rattanbeam/decisions/memberhome.h"

#include <chrono>

/// Helpers shared by the source files of MemberHome.
namespace rattanbeam::decisions
{

/// Time after which a refused request may be worth a retry, for example because a promotion has completed.
inline constexpr std::chrono::milliseconds refusalRetryDelay{50};

inline bool continuesTransaction(HomeOperation operation)
{
    return operation == HomeOperation::Step || operation == HomeOperation::Commit || operation == HomeOperation::Rollback;
}

inline bool needsPrimary(const HomeRequest &request)
{
    return request.isWrite || request.operation == HomeOperation::Begin;
}

/// Whether success means a durable change, so that the reply waits for confirmation by other members.
inline bool commitsWrite(const HomeRequest &request)
{
    return request.operation == HomeOperation::Commit || (request.operation == HomeOperation::Execute && request.isWrite);
}

} // namespace rattanbeam::decisions
