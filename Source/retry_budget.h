#pragma once

namespace cyclamen {

struct retry_budget_options {
    double share = 0.1;    // retries earned by each first try
    double reserve = 10.0; // most retries saved up
};

/// Keeps retries to a share of first tries, so that a brown-out is not answered
/// with more load.  Owned by the entry.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options)
        : options_(options), balance_(options.reserve)
    {
    }

    void first_try()
    {
        balance_ += options_.share;
        balance_ = balance_ < options_.reserve ? balance_ : options_.reserve;
    }

    /// Takes one retry; false when none is left.
    bool take()
    {
        if (balance_ < 1) {
            return false;
        }
        balance_ -= 1;
        return true;
    }

    double balance() const { return balance_; }

    /// Changes the share and the reserve; what is saved up beyond the reserve is lost.
    void set_options(retry_budget_options options)
    {
        options_ = options;
        balance_ = balance_ < options.reserve ? balance_ : options.reserve;
    }

private:
    retry_budget_options options_;
    double balance_;
};

} // namespace cyclamen
