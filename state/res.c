/*
 * Arithmetic of resources (ts_res_t).
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tanagerspool.h"

bool
ts_res_fits(const ts_res_t *demand, const ts_res_t *available)
{
	return demand->cpu_milli <= available->cpu_milli &&
	    demand->mem_bytes <= available->mem_bytes &&
	    demand->accel <= available->accel;
}

void
ts_res_add(ts_res_t *sum, const ts_res_t *part)
{
	sum->cpu_milli += part->cpu_milli;
	sum->mem_bytes += part->mem_bytes;
	sum->accel += part->accel;
}

void
ts_res_sub(ts_res_t *sum, const ts_res_t *part)
{
	sum->cpu_milli -= part->cpu_milli;
	sum->mem_bytes -= part->mem_bytes;
	sum->accel -= part->accel;
}
