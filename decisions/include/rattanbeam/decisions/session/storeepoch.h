#pragma once

#include <cstdint>

/// The store may come back from an older copy. Its revisions then start again from a lower number, and each such return begins a new epoch.
/// Revisions, generations of term records and fencing tokens therefore carry the epoch in their highest bits, so that every number of a
/// later epoch is higher than all numbers of earlier epochs. In epoch 0 they are the plain numbers.
namespace rattanbeam::decisions::session
{

/// A store may number its revisions by milliseconds since 1970, which need 41 bits. With 44, the numbers of the first 512 epochs are exact
/// also where a JSON number is kept as a double.
constexpr unsigned storeEpochShift = 44;
/// Epochs of the store must be below this.
constexpr std::uint64_t storeEpochLimit = std::uint64_t{1} << (64 - storeEpochShift);

/// The number below all numbers of `epoch`, and above those of earlier epochs.
constexpr std::uint64_t firstOfStoreEpoch(std::uint64_t epoch)
{
    return epoch << storeEpochShift;
}

/// The epoch in which a revision was assigned, or a generation was begun.
constexpr std::uint64_t storeEpochOf(std::uint64_t number)
{
    return number >> storeEpochShift;
}

/// The number without its epoch.
constexpr std::uint64_t numberInStoreEpoch(std::uint64_t number)
{
    return number & (firstOfStoreEpoch(1) - 1);
}

} // namespace rattanbeam::decisions::session
