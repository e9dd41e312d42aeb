#include "rattanbeam/decisions/identifiers.h"

namespace rattanbeam::decisions
{

std::uint64_t stableHash(const std::string &text)
{
    constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
    constexpr std::uint64_t fnvPrime = 1099511628211ULL;
    std::uint64_t hash = fnvOffset;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnvPrime;
    }
    // Finalizer of SplitMix64: FNV-1a alone gives short texts similar high bits.
    hash ^= hash >> 30U;
    hash *= 0xbf58476d1ce4e5b9ULL;
    hash ^= hash >> 27U;
    hash *= 0x94d049bb133111ebULL;
    hash ^= hash >> 31U;
    return hash;
}

} // namespace rattanbeam::decisions
