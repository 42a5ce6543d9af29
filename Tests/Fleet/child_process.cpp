#include "child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace cyclamen::test {

child_process::child_process(std::string program, std::vector<std::string> arguments,
                             std::string log_path)
    : log_path_(std::move(log_path))
{
    std::vector<char*> argv{program.data()};
    for (std::string& argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const int log_file = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = fork();
    if (pid_ == 0) {
        // Kills the child also if the parent dies without running the destructor.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log_file, STDERR_FILENO);
        dup2(log_file, STDOUT_FILENO);
        execv(program.c_str(), argv.data());
        _exit(127);
    }
    close(log_file);
    if (pid_ < 0) {
        throw std::runtime_error("fork failed for " + program);
    }
}

child_process::~child_process()
{
    if (!status_) {
        kill();
    }
}

void child_process::signal(int number) const
{
    if (!status_) {
        ::kill(pid_, number);
    }
}

std::optional<int> child_process::wait(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!status_) {
        int status = 0;
        const pid_t ended_pid = waitpid(pid_, &status, WNOHANG);
        if (ended_pid == pid_) {
            status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            break;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            return std::nullopt;
        }
        ::poll(nullptr, 0, 5);
    }
    return status_;
}

void child_process::kill()
{
    signal(SIGCONT);
    signal(SIGKILL);
    wait(std::chrono::milliseconds(10000));
}

} // namespace cyclamen::test
