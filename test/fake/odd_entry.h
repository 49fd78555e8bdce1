/*
 * Entries of the table of workers as another writer may leave them, for the
 * programs that fuzz decoders.
 */
#ifndef ODD_ENTRY_H
#define ODD_ENTRY_H

/*
 * The value of an entry: one as the workers write them with this address
 * ("ip:port"), of which up to three fields are odd or missing; free it.
 */
char *odd_entry_text(GRand *r, const char *address);
/* Its key, which may be one that no worker has; free it. */
char *odd_entry_key(GRand *r);

#endif
