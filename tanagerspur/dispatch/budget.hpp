// A budget for work beyond the least needed: hedges, and retries that may repeat work. Each
// first attempt earns a fraction; an extra attempt costs one. The fraction fades to nothing as
// the replicas fill, so that extra work never feeds an overload.

#ifndef TANAGERSPUR_DISPATCH_BUDGET_HPP
#define TANAGERSPUR_DISPATCH_BUDGET_HPP

#include <algorithm>

namespace tanagerspur
{

class extra_load_budget
{
public:
    // fraction: extra attempts per first attempt; tokens: extra attempts allowed at the start;
    // max_tokens: most that may be saved up.
    explicit extra_load_budget(double fraction, double balance = 0, double max_tokens = 10)
        : m_fraction(fraction)
        , m_tokens(balance)
        , m_max_tokens(max_tokens)
    {
    }

    void set_fraction(double fraction) { m_fraction = fraction; }

    // A first attempt was made while this share (0 to 1) of the slots was in use.
    void deposit(double utilisation)
    {
        const double fade =
            std::clamp((fade_end - utilisation) / (fade_end - fade_start), 0.0, 1.0);
        m_tokens = std::min(m_max_tokens, m_tokens + m_fraction * fade);
    }

    // A cost over what is left is a debt, which is earned back before anything else is spent.
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
