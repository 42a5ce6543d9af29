#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen::test {

/// Child process that is signalled, awaited and killed by its process id.
class child_process {
public:
    /// Starts `program` and appends its standard output and standard error to the file `log_path`.
    /// Throws std::runtime_error if fork fails. If the program cannot be executed, the child exits
    /// with status 127.
    child_process(std::string program, std::vector<std::string> arguments, std::string log_path);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    /// Kills the process if it is still running.
    ~child_process();

    /// Sends a signal, unless `wait` has already seen the process exit.
    void signal(int number) const;
    /// Waits until the process exits. Returns its exit status, 128 plus the signal number if a
    /// signal ended it, or `std::nullopt` on timeout.
    std::optional<int> wait(std::chrono::milliseconds timeout);
    /// Sends SIGCONT and SIGKILL and waits up to 10 s for the exit.
    void kill();

    pid_t pid() const { return pid_; }
    const std::string& log_path() const { return log_path_; }

private:
    pid_t pid_ = -1;
    std::optional<int> status_;
    std::string log_path_;
};

} // namespace cyclamen::test
