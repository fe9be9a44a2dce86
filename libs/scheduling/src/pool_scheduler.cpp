#include <parsleyshift/scheduling/pool_scheduler.hpp> // pool_scheduler

namespace parsleyshift
{

template class basic_pool_scheduler<fair_queue, no_preference>;

} // namespace parsleyshift
