#pragma once

/// Every member of a manifest is declared here once: kind, name, default, least, most, meaning. The reader,
/// its checks, and the operators' page are all made from these lists.
#define WHARF_TENANT_OPTIONS(NUMBER, FLAG, TEXT)                                                             \
  NUMBER(base, 10, 1, 1000000, "Errands a second the tenant may send, over all pilots together.")            \
  FLAG(unbounded, false, "The tenant may send as many errands as it likes; base and burst do not count.")    \
  NUMBER(burst, 0, 0, 10000000, "Errands above the base a quiet tenant may send at once.")                   \
  NUMBER(worth, 0, 0, 1000, "What the tenant's calls are worth above what their rules and services say.")

#define WHARF_SERVICE_OPTIONS(NUMBER, FLAG, TEXT)                                                            \
  TEXT(image, "", 1, 256, "Image or command name the platform starts.")                                      \
  NUMBER(memory_mb, 128, 1, 1048576, "Memory one runner takes on its worker.")                               \
  NUMBER(slots, 1, 1, 10000, "Errands one runner may run at once.")                                          \
  NUMBER(least, 0, 0, 10000, "Runners kept even when idle.")                                                 \
  NUMBER(most, 4, 1, 10000, "Runners never exceeded.")                                                       \
  NUMBER(idle_s, 30, 1, 86400, "Seconds a runner idles before it is let go.")                                \
  FLAG(once, false, "An errand of this service must never run twice.")                                       \
  NUMBER(worth, 1, 1, 1000, "What a call is worth next to other services' calls.")                           \
  NUMBER(boot_ms, 0, 0, 600000, "What a start is known to take; 0 when nothing is known.")                   \
  NUMBER(links_most, 0, 0, 100000, "Links one runner takes from all callers together; 0 for no bound.")      \
  FLAG(self_bounding, false,                                                                                 \
       "A runner itself refuses what is above its slots, says so, and drops what nobody waits for.")

#define WHARF_TRIAL_OPTIONS(NUMBER, FLAG, TEXT)                                                              \
  NUMBER(refused_most_percent, 5, 0, 100, "Share of a tenant's measured errands a change may newly refuse.") \
  NUMBER(unruled_most_percent, 100, 0, 100,                                                                  \
         "Share of a tenant's measured errands that may newly have no rule.")                                \
  NUMBER(memory_most_percent, 100, 1, 1000, "Share of the workers' memory that a change may come to need.")  \
  NUMBER(starts_most_s, 10, 1, 3600, "Seconds of the platform's pace that a change's starts may take.")      \
  NUMBER(measured_least, 200, 1, 100000000, "Errands of the last minute below which nothing is foretold.")

#define WHARF_LIMIT_OPTIONS(NUMBER, FLAG, TEXT)                                                              \
  NUMBER(wait_default_ms, 5000, 50, 600000, "How long a caller waits when it does not say.")                 \
  NUMBER(wait_most_ms, 30000, 50, 600000, "The longest a caller may say it waits.")                          \
  NUMBER(body_most_bytes, 1048576, 0, 16777216, "The largest body an errand or an answer may have.")         \
  NUMBER(pending_most, 256, 1, 100000, "Errands one service may hold pending.")                              \
  NUMBER(claim_keep_s, 900, 60, 86400, "Seconds the answer of a once errand is kept after it ended.")        \
  NUMBER(unknown_keep_s, 86400, 900, 604800, "Seconds a once errand with no known end blocks its repeats.")  \
  NUMBER(head_most_bytes, 65536, 1024, 65536, "The largest head a request may have.")                        \
  NUMBER(head_within_ms, 8000, 100, 600000, "How long a request's head may take to arrive.")                 \
  NUMBER(idle_ms, 20000, 500, 3600000, "How long a caller's link may rest.")                                 \
  NUMBER(cut_off_s, 0, 0, 86400,                                                                             \
         "How long pilots go on by what they last knew while no control group is in reach.")                 \
  NUMBER(start_price, 0, 0, 1000000, "What one start costs, in thousandths of a call's worth.")              \
  NUMBER(memory_price, 0, 0, 1000000,                                                                        \
         "What a gigabyte of runners costs a second, in thousandths of a call's worth.")
