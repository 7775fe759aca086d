/* keys.c -- finds what json-c lets through in a file of JSON with comments
 *
 * One scanner cuts the text into strings and punctuation and skips comments.
 * A string that a colon follows is a key of the innermost open object.
 */
#include "config/keys.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  const char *text;
  size_t size;
  size_t at;
} scanner_t;

static bool
starts_with (const scanner_t *scanner, const char *prefix)
{
  size_t length = strlen (prefix);
  return scanner->size - scanner->at >= length
         && memcmp (scanner->text + scanner->at, prefix, length) == 0;
}

/* Moves behind the next END, or to the end of the text. */
static void
skip_past (scanner_t *scanner, const char *end)
{
  while (scanner->at < scanner->size && !starts_with (scanner, end))
    scanner->at++;
  scanner->at = MIN (scanner->size, scanner->at + strlen (end));
}

static void
skip_blank (scanner_t *scanner)
{
  while (scanner->at < scanner->size)
    {
      if (starts_with (scanner, "//"))
        skip_past (scanner, "\n");
      else if (starts_with (scanner, "/*"))
        {
          scanner->at += 2;
          skip_past (scanner, "*/");
        }
      else if (g_ascii_isspace (scanner->text[scanner->at]))
        scanner->at++;
      else
        return;
    }
}

/* Moves behind the string that begins here; returns its content as written. */
static char *
take_string (scanner_t *scanner)
{
  size_t begin = ++scanner->at;
  while (scanner->at < scanner->size && scanner->text[scanner->at] != '"')
    scanner->at += scanner->text[scanner->at] == '\\' ? 2 : 1;
  size_t end = MIN (scanner->at, scanner->size);
  scanner->at = MIN (end + 1, scanner->size);
  return g_strndup (scanner->text + begin, end - begin);
}

/* Takes a string; returns it if it is a key that KEYS has already. */
static char *
take_key (scanner_t *scanner, GHashTable *keys)
{
  char *string = take_string (scanner);
  skip_blank (scanner);
  bool is_key = keys && scanner->at < scanner->size && scanner->text[scanner->at] == ':';
  if (!is_key)
    {
      g_free (string);
      return NULL;
    }
  if (g_hash_table_contains (keys, string))
    return string;
  g_hash_table_add (keys, string);
  return NULL;
}

static GHashTable *
keys_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

char *
config_keys_repeated (const char *text, size_t size)
{
  scanner_t scanner = { text, size, 0 };
  GPtrArray *open = g_ptr_array_new_with_free_func ((GDestroyNotify) g_hash_table_unref);
  char *repeated = NULL;
  for (skip_blank (&scanner); scanner.at < size && repeated == NULL; skip_blank (&scanner))
    {
      char mark = text[scanner.at];
      if (mark == '"')
        {
          repeated = take_key (&scanner, open->len > 0 ? open->pdata[open->len - 1] : NULL);
          continue;
        }
      if (mark == '{')
        g_ptr_array_add (open, keys_new ());
      else if (mark == '}' && open->len > 0)
        g_ptr_array_remove_index (open, open->len - 1);
      scanner.at++;
    }
  g_ptr_array_unref (open);
  return repeated;
}

bool
config_keys_single_quoted (const char *text, size_t size)
{
  scanner_t scanner = { text, size, 0 };
  for (skip_blank (&scanner); scanner.at < size; skip_blank (&scanner))
    {
      if (text[scanner.at] == '\'')
        return true;
      if (text[scanner.at] == '"')
        g_free (take_string (&scanner));
      else
        scanner.at++;
    }
  return false;
}

bool
config_keys_blank (const char *text, size_t size)
{
  scanner_t scanner = { text, size, 0 };
  skip_blank (&scanner);
  return scanner.at == size;
}
