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
                             std::string log)
    : log_(std::move(log))
{
    std::vector<char*> line{program.data()};
    for (std::string& argument : arguments) {
        line.push_back(argument.data());
    }
    line.push_back(nullptr);
    const int log_file = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    id_ = fork();
    if (id_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // also ends the child when the test itself is killed
        dup2(log_file, STDERR_FILENO);
        dup2(log_file, STDOUT_FILENO);
        execv(program.c_str(), line.data());
        _exit(127);
    }
    close(log_file);
    if (id_ < 0) {
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
        ::kill(id_, number);
    }
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!status_) {
        int status = 0;
        const pid_t ended = waitpid(id_, &status, WNOHANG);
        if (ended == id_) {
            status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            break;
        }
        if (std::chrono::steady_clock::now() >= until) {
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
