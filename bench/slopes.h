#ifndef BENCH_SLOPES_H_
#define BENCH_SLOPES_H_

namespace mimosadeck::bench {

/**
 * @brief Measures processor time, bytes and state of each decision at several
 * sizes and prints them as a table.
 */
void PrintSlopes();

}  // namespace mimosadeck::bench

#endif  // BENCH_SLOPES_H_
