#include "tanagerspur/host/lifecycle.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace tanagerspur
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct ready
{
};
struct drain
{
    time_point now;
};
struct tick
{
    time_point now;
    bool is_idle = false;
};

struct front_end : msm::front::state_machine_def<front_end>
{
    struct starting : msm::front::state<>
    {
    };
    struct serving : msm::front::state<>
    {
    };
    struct leaving : msm::front::state<>
    {
    };
    struct draining : msm::front::state<>
    {
    };
    struct stopped : msm::front::state<>
    {
    };
    using initial_state = starting;

    struct note_notice
    {
        template<class Event, class Machine, class Source, class Target>
        void operator()(const Event& event, Machine& m, Source&, Target&) const
        {
            m.notice_end = event.now + m.options.notice;
        }
    };
    struct note_drain
    {
        template<class Event, class Machine, class Source, class Target>
        void operator()(const Event& event, Machine& m, Source&, Target&) const
        {
            m.drain_end = event.now + m.options.drain_timeout;
        }
    };
    struct is_notice_over
    {
        template<class Event, class Machine, class Source, class Target>
        bool operator()(const Event& event, Machine& m, Source&, Target&) const
        {
            return event.now >= m.notice_end;
        }
    };
    struct is_drained
    {
        template<class Event, class Machine, class Source, class Target>
        bool operator()(const Event& event, Machine& m, Source&, Target&) const
        {
            return event.is_idle || event.now >= m.drain_end;
        }
    };

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<starting, ready, serving,  none,        none>,
        Row<serving,  drain, leaving,  note_notice, none>,
        Row<leaving,  tick,  draining, note_drain,  is_notice_over>,
        Row<draining, tick,  stopped,  none,        is_drained>,
        Row<starting, drain, stopped,  none,        none>>
    {
    };
    // clang-format on

    // A second drain, or a tick that ends nothing, changes nothing.
    template<class Event, class Machine> void no_transition(const Event&, Machine&, int) {}

    lifecycle_options options;
    time_point notice_end;
    time_point drain_end;
};

} // namespace

std::string_view to_string(life_state state)
{
    switch (state)
    {
    case life_state::starting:
        return "starting";
    case life_state::serving:
        return "serving";
    case life_state::leaving:
        return "leaving";
    case life_state::draining:
        return "draining";
    case life_state::stopped:
        return "stopped";
    }
    return "starting";
}

struct lifecycle::machine
{
    msm::back::state_machine<front_end> back;
};

lifecycle::lifecycle(lifecycle_options options)
    : m_machine(std::make_unique<machine>())
{
    m_machine->back.options = options;
    m_machine->back.start();
}

lifecycle::~lifecycle() = default;

void lifecycle::on_ready()
{
    m_machine->back.process_event(ready{});
}

void lifecycle::on_drain(time_point now)
{
    m_machine->back.process_event(drain{now});
}

void lifecycle::on_tick(time_point now, bool is_idle)
{
    m_machine->back.process_event(tick{now, is_idle});
}

life_state lifecycle::state() const
{
    // States are numbered in the order in which the transition table names them as sources.
    static constexpr life_state order[] = {life_state::starting, life_state::serving,
                                           life_state::leaving, life_state::draining,
                                           life_state::stopped};
    return order[m_machine->back.current_state()[0]];
}

bool lifecycle::accepts_queries() const
{
    return state() == life_state::serving || state() == life_state::leaving;
}

bool lifecycle::is_leaving() const
{
    return state() != life_state::starting && state() != life_state::serving;
}

} // namespace tanagerspur
