#pragma once

#include <atomic>
#include <map>
#include <string>
#include <thread>

namespace rattanbeam::systemtests
{

/// A TCP relay in front of a process, through which a test cuts it off.
///
///     Relay relay(backend.address());
///     relay.setMode(Relay::Mode::Silent);
class Relay
{
public:
    enum class Mode {
        Pass,
        Refuse, ///< Closes all connections and accepts none.
        Silent, ///< Swallows all bytes and closes nothing.
        SilentOld, ///< Swallows the bytes of connections made before; new ones work.
    };

    explicit Relay(std::string target);
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;
    ~Relay();

    const std::string &address() const
    {
        return m_address;
    }
    void setMode(Mode mode)
    {
        m_mode = mode;
    }

private:
    struct Peer {
        int other = -1;
        bool isSilent = false;
    };

    void loop();
    void acceptOne();
    void pump(int from);
    void closePair(int one);
    void closeAll();
    void silenceAll();

    std::string m_target;
    std::string m_address;
    int m_listener = -1;
    std::atomic<Mode> m_mode{Mode::Pass};
    std::atomic<bool> m_stopping{false};
    std::map<int, Peer> m_peers;
    std::thread m_thread;
};

} // namespace rattanbeam::systemtests
