#pragma once

#include <chrono>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace rattanbeam::systemtests
{

/// A program under test, ended with its object.
///
///     Process backend("rattanbeam-backend", {"--name", "orders-a"}, logFile);
///     backend.kill(SIGSTOP);
class Process
{
public:
    enum class Start {
        UntilListening, ///< Waits until the program's log tells the port that it listens on.
        AtOnce,
    };

    Process(const std::string &program,
            const std::vector<std::string> &arguments,
            std::string logFile,
            Start start = Start::UntilListening);
    /// Runs a program to its end; returns its exit code.
    static int run(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process();

    const std::string &address() const
    {
        return m_address;
    }
    pid_t pid() const
    {
        return m_pid;
    }
    void kill(int signal);
    bool isRunning();
    /// Exit code, or -1 when it has not ended within `limit`, or was ended by a signal.
    int waitForExit(std::chrono::seconds limit);
    std::string log() const;

private:
    std::string m_logFile;
    std::string m_address;
    pid_t m_pid = -1;
};

} // namespace rattanbeam::systemtests
