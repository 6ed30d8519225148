#include "tanagerspur/dispatch/replica_health.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/euml/operator.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>

namespace tanagerspur
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;
using msm::front::euml::Not_;

struct success
{
    time_point now;
};
struct failed
{
    time_point now;
};
struct ejection_over
{
    time_point now;
};

struct front_end : msm::front::state_machine_def<front_end>
{
    struct active : msm::front::state<>
    {
    };
    struct ejected : msm::front::state<>
    {
    };
    struct probing : msm::front::state<>
    {
    };
    using initial_state = active;

    struct is_ejecting
    {
        template<class Event, class Machine, class Source, class Target>
        bool operator()(const Event&, Machine& m, Source&, Target&) const
        {
            return m.failures + 1 >= m.options.failures_to_eject;
        }
    };
    struct is_admitting
    {
        template<class Event, class Machine, class Source, class Target>
        bool operator()(const Event&, Machine& m, Source&, Target&) const
        {
            return m.successes + 1 >= m.options.successes_to_admit;
        }
    };
    struct count_failure
    {
        template<class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& m, Source&, Target&) const
        {
            ++m.failures;
        }
    };
    struct count_success
    {
        template<class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& m, Source&, Target&) const
        {
            ++m.successes;
            m.failures = 0;
        }
    };
    struct eject
    {
        template<class Event, class Machine, class Source, class Target>
        void operator()(const Event& event, Machine& m, Source&, Target&) const
        {
            m.failures = 0;
            m.successes = 0;
            m.ejection_time = m.ejection_time.count() == 0
                                  ? m.options.initial_ejection_time
                                  : std::min(m.ejection_time * 2, m.options.max_ejection_time);
            m.ejection_end = event.now + m.ejection_time;
        }
    };
    struct admit
    {
        template<class Event, class Machine, class Source, class Target>
        void operator()(const Event& event, Machine& m, Source&, Target&) const
        {
            m.failures = 0;
            m.successes = 0;
            m.ejection_time = duration{0};
            m.ramp_begin = event.now;
            m.is_ramping = true;
        }
    };

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<active,  failed,        ejected, eject,         is_ejecting>,
        Row<active,  failed,        none,    count_failure, Not_<is_ejecting>>,
        Row<active,  success,       none,    count_success, none>,
        Row<ejected, ejection_over, probing, none,          none>,
        Row<probing, success,       active,  admit,         is_admitting>,
        Row<probing, success,       none,    count_success, Not_<is_admitting>>,
        Row<probing, failed,        ejected, eject,         none>>
    {
    };
    // clang-format on

    // Events without a row, such as late answers of an ejected replica, are ignored.
    template<class Event, class Machine> void no_transition(const Event&, Machine&, int) {}

    health_options options;
    std::uint32_t failures = 0;
    std::uint32_t successes = 0;
    duration ejection_time{0};
    time_point ejection_end = time_point::min();
    time_point ramp_begin = time_point::min();
    bool is_ramping = false;
};

} // namespace

std::string_view to_string(health_state state)
{
    switch (state)
    {
    case health_state::active:
        return "active";
    case health_state::ejected:
        return "ejected";
    case health_state::probing:
        return "probing";
    }
    return "active";
}

struct replica_health::machine
{
    msm::back::state_machine<front_end> back;
};

replica_health::replica_health(health_options options)
    : m_machine(std::make_unique<machine>())
{
    m_machine->back.options = options;
    m_machine->back.start();
}

replica_health::~replica_health() = default;
replica_health::replica_health(replica_health&&) noexcept = default;
replica_health& replica_health::operator=(replica_health&&) noexcept = default;

void replica_health::on_success(time_point now)
{
    m_machine->back.process_event(success{now});
}

void replica_health::on_failure(time_point now)
{
    m_machine->back.process_event(failed{now});
}

health_state replica_health::state(time_point now)
{
    // Boost.MSM numbers the states in the order of their appearance in the transition table.
    auto state = static_cast<health_state>(m_machine->back.current_state()[0]);
    if (state == health_state::ejected && now >= m_machine->back.ejection_end)
    {
        m_machine->back.process_event(ejection_over{now});
        state = health_state::probing;
    }
    return state;
}

std::uint32_t replica_health::limit(time_point now, std::uint32_t allowed)
{
    switch (state(now))
    {
    case health_state::ejected:
        return 0;
    case health_state::probing:
        return std::min(allowed, 1U);
    case health_state::active:
        break;
    }
    auto& back = m_machine->back;
    if (!back.is_ramping)
        return allowed;
    const duration ramp = std::max(back.options.ramp, duration{1});
    const duration passed = now - back.ramp_begin;
    if (passed >= ramp)
    {
        back.is_ramping = false;
        return allowed;
    }
    const auto part = allowed * passed.count() / ramp.count();
    return std::clamp(static_cast<std::uint32_t>(part), std::min(1U, allowed), allowed);
}

} // namespace tanagerspur
