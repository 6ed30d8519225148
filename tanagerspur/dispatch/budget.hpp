// A token bucket that limits extra load: hedges, and retries that may repeat work. Each first
// attempt deposits a fraction of a token; an extra attempt withdraws one. The deposit decreases
// to zero as the utilisation of the replicas rises, so that extra attempts never amplify an
// overload.

#ifndef TANAGERSPUR_DISPATCH_BUDGET_HPP
#define TANAGERSPUR_DISPATCH_BUDGET_HPP

#include <algorithm>

namespace tanagerspur
{

class extra_load_budget
{
public:
    // fraction: extra attempts per first attempt; balance: tokens at the start; max_tokens: the
    // capacity of the bucket.
    explicit extra_load_budget(double fraction, double balance = 0, double max_tokens = 10)
        : m_fraction(fraction)
        , m_tokens(balance)
        , m_max_tokens(max_tokens)
    {
    }

    void set_fraction(double fraction) { m_fraction = fraction; }

    // Called for each first attempt; utilisation is the share of slots in use, 0 to 1.
    void deposit(double utilisation)
    {
        const double fade =
            std::clamp((fade_end - utilisation) / (fade_end - fade_start), 0.0, 1.0);
        m_tokens = std::min(m_max_tokens, m_tokens + m_fraction * fade);
    }

    // Returns false if less than one token is left. A cost above the balance makes it negative;
    // deposits must bring it back to one token before the next withdrawal.
    bool try_withdraw(double cost = 1)
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= cost;
        return true;
    }

    double balance() const { return m_tokens; }

private:
    static constexpr double fade_start = 0.75;
    static constexpr double fade_end = 0.90;

    double m_fraction;
    double m_tokens;
    double m_max_tokens;
};

} // namespace tanagerspur

#endif
