#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <glib.h>
#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "../cell/cell.h"
#include "../model/arena.h"
static double now(void){struct timespec t;clock_gettime(CLOCK_MONOTONIC,&t);return t.tv_sec+t.tv_nsec*1e-9;}
static char obuf[1<<16];
int main(int argc,char**argv){
 (void)argc;(void)argv;
 setvbuf(stdout,obuf,_IOFBF,sizeof obuf);
 world_t *w=world_new(1,3,2);
 Sched__Step st=SCHED__STEP__INIT,*l[1]={&st}; Sched__Job d=SCHED__JOB__INIT;
 st.count=1;st.cpu_milli=1000;st.mem_mb=100;st.estimate_ms=100000;st.lasting=true;
 d.queue="q";d.service="s";d.spec="x";d.max_attempts=2;d.stretch=2;d.target_ms=1000;d.n_steps=1;d.steps=l;
 world_run_until(w,4000);
 d.accepted_ms=w->now_ms;world_submit(w,&d,false);
 st.lasting=false;st.estimate_ms=8000;world_submit(w,&d,false);
 world_run_until(w,9000);
 printf("size %zu starts %ld viol %s\n",arena_size(),(long)w->starts,w->violated_check);
 size_t n=arena_size();void*b=arena_outside(n*2);
 double t=now();for(int i=0;i<2000;i++)arena_save(b);printf("save %.2f us\n",(now()-t)/2000*1e6);
 t=now();world_run_until(w,w->now_ms+100);printf("size after %zu\n",arena_size());
 t=now();for(int i=0;i<2000;i++){arena_restore(b,n);world_run_until(w,w->now_ms+100);}printf("restore+step100 %.2f us starts %ld now %ld\n",(now()-t)/2000*1e6,(long)w->starts,(long)w->now_ms);
 arena_restore(b,n);
 t=now();world_run_until(w,w->now_ms+100000);printf("100 s: %.2f ms\n",(now()-t)*1e3);
 printf("size after %zu viol %s\n",arena_size(),w->violated_check);
 return 0;}
