#include "rattanbeam/proxy/internal/tokensealer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

namespace rattanbeam::proxy::internal
{

namespace
{

constexpr std::size_t macBytes = 32;

std::string fromHex(const std::string &digits)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
        bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
    }
    return bytes;
}

std::string toHex(const unsigned char *bytes, std::size_t count)
{
    static const char *digits = "0123456789abcdef";
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 15U];
    }
    return text;
}

std::string mac(const std::string &key, const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> result{};
    unsigned length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         result.data(),
         &length);
    return {reinterpret_cast<const char *>(result.data()), length};
}

} // namespace

TokenSealer::TokenSealer(const std::string &key, const std::string &previousKey) : m_key(fromHex(key)), m_previousKey(fromHex(previousKey))
{}

std::string TokenSealer::seal(const decisions::SessionToken &token) const
{
    const std::string text = token.encode();
    return mac(m_key, text) + text;
}

std::optional<decisions::SessionToken> TokenSealer::open(const std::string &sealed) const
{
    if (sealed.empty()) {
        return decisions::SessionToken();
    }
    if (sealed.size() <= macBytes || sealed.size() > macBytes + decisions::SessionToken::maxBytes) {
        return std::nullopt;
    }
    const std::string given = sealed.substr(0, macBytes);
    const std::string text = sealed.substr(macBytes);
    const bool isGenuine
        = equalInConstantTime(given, mac(m_key, text)) || (!m_previousKey.empty() && equalInConstantTime(given, mac(m_previousKey, text)));
    return isGenuine ? decisions::SessionToken::decode(text) : std::nullopt;
}

std::string sha256Hex(const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return toHex(digest.data(), length);
}

bool equalInConstantTime(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomId()
{
    std::array<unsigned char, 16> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return toHex(bytes.data(), bytes.size());
}

} // namespace rattanbeam::proxy::internal
