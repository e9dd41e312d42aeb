#include "rattanbeam/systemtests/process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace rattanbeam::systemtests
{

using namespace std::chrono_literals;

namespace
{

pid_t spawn(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<char *> words{const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        words.push_back(const_cast<char *>(argument.c_str()));
    }
    words.push_back(nullptr);
    const pid_t pid = fork();
    if (pid == 0) {
        const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        closefrom(STDERR_FILENO + 1); // ports and connections of the test itself
        execv(program.c_str(), words.data());
        _exit(127);
    }
    return pid;
}

} // namespace

Process::Process(const std::string &program, const std::vector<std::string> &arguments, std::string logFile, Start start)
    : m_logFile(std::move(logFile)), m_pid(spawn(program, arguments, m_logFile))
{
    if (start == Start::AtOnce) {
        return;
    }
    for (int tries = 0; tries < 400; ++tries) {
        const std::string text = log();
        const auto at = text.find("port=");
        if (at != std::string::npos && text.find_first_of(" \n", at) != std::string::npos) {
            m_address = "127.0.0.1:" + std::to_string(std::stoi(text.substr(at + 5)));
            return;
        }
        std::this_thread::sleep_for(25ms);
    }
    throw std::runtime_error(program + " did not start: " + log());
}

int Process::run(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
{
    int status = 0;
    waitpid(spawn(program, arguments, logFile), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Process::~Process()
{
    if (m_pid > 0) {
        kill(SIGCONT);
        kill(SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void Process::kill(int signal)
{
    if (m_pid > 0) {
        ::kill(m_pid, signal);
    }
}

bool Process::isRunning()
{
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

int Process::waitForExit(std::chrono::seconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until) {
        int status = 0;
        if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(10ms);
    }
    return -1;
}

std::string Process::log() const
{
    std::ifstream stream(m_logFile);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace rattanbeam::systemtests
